"""TLS towards callers."""

import ssl
import unittest

import aiohttp
import trustme

from standins import cluster


class TlsTest(unittest.IsolatedAsyncioTestCase):
    """One daemon with a certificate of a test authority."""

    async def test_callers_are_served_by_tls_only(self) -> None:
        """A caller is served over TLS only, and only if it trusts the CA.

        A caller that does not trust it aborts the handshake, and plain HTTP
        gets no response.
        """
        authority = trustme.CA()
        certificate = authority.issue_cert('127.0.0.1')
        async with cluster.Cluster() as system:
            chain = system.folder / 'chain.pem'
            key = system.folder / 'key.pem'
            chain.write_bytes(
                b''.join(blob.bytes() for blob in certificate.cert_chain_pems)
            )
            certificate.private_key_pem.write_to_path(str(key))
            await system.start_store()
            system.place_daemon('entry-1', 'bole-a', 'addis')
            tls = {'certificate_file': str(chain), 'key_file': str(key)}
            system.write_settings('entry-1', tls=tls)
            system.start_daemon('entry-1')
            place = system.daemons['entry-1']
            # The operator server starts after the caller server.
            await system.wait_for(f'{place.operator_url}/v1/status')
            url = place.caller_url.replace('http:', 'https:') + '/live'
            known = ssl.create_default_context()
            authority.configure_trust(known)
            async with system.session.get(url, ssl=known) as response:
                self.assertEqual('live\n', await response.text())
            with self.assertRaises(aiohttp.ClientSSLError):
                await system.session.get(url, ssl=ssl.create_default_context())
            with self.assertRaises(aiohttp.ClientError):
                await system.session.get(f'{place.caller_url}/live')
