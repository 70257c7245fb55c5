"""A search and an unrepeatable request, end to end through processes."""

import unittest

from standins import cluster
from standins import small_system


class ThinPathTest(unittest.IsolatedAsyncioTestCase):
    """Three daemons, four shard targets and two desks."""

    async def test_search_and_run_end_to_end(self) -> None:
        """A search is complete, and a repeated run returns the first result.

        One daemon claims the key in the store and runs the request.  Another
        daemon finds the claim and replays its outcome.
        """
        async with cluster.Cluster() as system:
            await small_system.start(system, 3)
            first, second = list(system.daemons.values())[:2]
            body = {
                'service': 'field-claims',
                'search': 'claimant-history',
                'terms': {'kebele': 'bole'},
            }
            status, found = await system.call(
                'POST', f'{first.caller_url}/v1/search', body
            )
            self.assertEqual((200, 'answered'), (status, found['type']))
            self.assertEqual(1.0, found['coverage'])
            self.assertEqual(50, len(found['records']))
            order = {
                'service': 'relief-payout',
                'operation': 'release-payout',
                'body': {'household': 'household-7'},
            }
            key = {'Idempotency-Key': system.new_key()}
            answers = [
                await system.call(
                    'POST', f'{place.caller_url}/v1/run', order, key
                )
                for place in (first, second)
            ]
            self.assertEqual([200, 200], [row[0] for row in answers])
            self.assertEqual(answers[0][1]['result'], answers[1][1]['result'])
            self.assertEqual(
                [False, True], [row[1]['replayed'] for row in answers]
            )
