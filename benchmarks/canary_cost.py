"""Models how many searches need a canary, and what it adds to their latency.

Run as ``python -m benchmarks.canary_cost``.  No daemon runs: the contents
of searches follow a Zipf distribution, at 175 searches per second and daemon.
Service times are log-normal, with one per cent of stragglers that take ten
times as long.  There are no hedges.
"""

import itertools
import json
import random
import statistics

import click

from samphiredock import coordination

_SEARCHES_PER_S = 175
_SHARDS = 55
_MEDIAN_SERVICE_MS = 5.0
_SIGMA = 0.3


def _canary_share(contents: int, exponent: float, seed: int) -> float:
    """Return the share of 100,000 searches whose content is unknown."""
    rng = random.Random(seed)
    ranks = range(1, contents + 1)
    weights = itertools.accumulate(rank**-exponent for rank in ranks)
    known = coordination.KnownContents()
    drawn = rng.choices(ranks, cum_weights=list(weights), k=100_000)
    canaries = 0
    for number, content in enumerate(drawn):
        now_ms = number * 1_000.0 / _SEARCHES_PER_S
        canaries += not known.is_known(str(content), now_ms)
        known.remember(str(content), now_ms)
    return canaries / len(drawn)


def _service_ms(rng: random.Random) -> float:
    service_ms = _MEDIAN_SERVICE_MS * rng.lognormvariate(0.0, _SIGMA)
    return service_ms * 10.0 if rng.random() < 0.01 else service_ms


def _latencies(canary_share: float, seed: int) -> dict[str, float]:
    rng = random.Random(seed)
    rows = []
    for _ in range(20_000):
        slowest = max(_service_ms(rng) for _ in range(_SHARDS))
        first = _service_ms(rng) if rng.random() < canary_share else 0.0
        rows.append(first + slowest)
    percentiles = statistics.quantiles(rows, n=100)
    return {
        'p50_ms': round(percentiles[49], 1),
        'p99_ms': round(percentiles[98], 1),
    }


@click.command()
@click.option('--seed', default=1)
def main(seed: int) -> None:
    """Print shares and latencies as JSON, one line per case."""
    for contents, exponent in ((5_000, 1.0), (100_000, 1.0), (10**6, 0.6)):
        share = _canary_share(contents, exponent, seed)
        row = {'contents': contents, 'exponent': exponent, 'share': share}
        print(json.dumps({**row, **_latencies(share, seed)}))
    for name, share in (('never', 0.0), ('always', 1.0)):
        print(json.dumps({'canary': name, **_latencies(share, seed)}))


if __name__ == '__main__':
    main()
