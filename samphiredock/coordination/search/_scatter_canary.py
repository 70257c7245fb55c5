"""Which shards of a search may be asked now, and which only alone."""

import typing

import xxhash

from samphiredock.coordination.search import _scatter_round

_MAX_CANARIES = 2


class CanaryGate:
    """Hold shards back while the content may crash its targets.

    The order of the shards and replicas that are asked alone follows from
    the content only, so that copies of it which run at several daemons at
    the same time lose the same targets, not one for each daemon.

    Parameters
    ----------
    fingerprint
        The content.
    canary
        Ask one shard alone first.
    suspect
        A target was lost to this content before: nothing but one attempt
        at a time until one has succeeded.
    """

    def __init__(self, fingerprint: str, canary: bool, suspect: bool) -> None:
        self._fingerprint = fingerprint
        self._is_canary = canary or suspect
        self._is_serial = self._is_canary
        self._is_suspect = suspect
        self._canaries = 0
        self._held: list[_scatter_round.ShardState] = []
        self._queue: list[_scatter_round.ShardState] = []
        self._lost: list[_scatter_round.ShardState] = []
        self._queried_targets: set[str] = set()

    def begin(
        self, shards: list[_scatter_round.ShardState]
    ) -> list[_scatter_round.ShardState]:
        """Return the shards to ask at once; the others are held."""
        self._is_serial = self._is_serial or self._is_suspect
        self._is_canary = self._is_serial
        self._canaries = 0
        self._queue.clear()
        self._lost.clear()
        if not self._is_canary:
            return shards
        self._queried_targets.clear()
        self._held = sorted(
            shards, key=lambda shard: self._rank(shard.shard.shard_id)
        )
        return []

    def _rank(self, name: str) -> int:
        text = f'{self._fingerprint}/{name}'
        return xxhash.xxh64_intdigest(text.encode())

    def choose_replica(self, replicas: typing.Sequence[str]) -> str:
        """Return the replica to ask alone."""
        return min(replicas, key=self._rank)

    def may_add_canary(self) -> bool:
        """Whether a late canary may have another shard asked beside it."""
        return (
            self._is_canary
            and not self._is_suspect
            and self._canaries < _MAX_CANARIES
            and bool(self._held)
        )

    def must_run_alone(self, shard: _scatter_round.ShardState) -> bool:
        """Whether a shard may only be asked alone, one at a time."""
        return self._is_serial or shard in self._lost

    def allows_hedges(self) -> bool:
        """Whether a second target may run the content at the same time."""
        return not self._is_suspect

    def has_waiting(self) -> bool:
        """Whether a shard waits for its turn to be asked alone."""
        return bool(self._queue) or (self._is_canary and bool(self._held))

    def enqueue(self, shard: _scatter_round.ShardState) -> None:
        """Ask a shard when the one that runs alone has ended."""
        self._queue.append(shard)

    def record_loss(self, shard: _scatter_round.ShardState) -> None:
        """A target died under this content, alone or beside others."""
        self._is_suspect = True
        if self._is_canary or shard in self._lost:
            self._is_serial = True
        if shard not in self._lost:
            self._lost.append(shard)
        self._queue.append(shard)

    def record_success(self, shard: _scatter_round.ShardState) -> bool:
        """A shard answered alone; True if that clears the content.

        It does not while another shard's loss is unexplained: the content
        may crash just the targets of that one.
        """
        if shard in self._lost:
            self._lost.remove(shard)
        if self._lost:
            return False
        self._is_suspect = False
        return True

    def release(self) -> list[_scatter_round.ShardState]:
        """Return the held shards; only those with a loss still go alone."""
        self._is_canary = False
        self._is_serial = False
        free = self._held + [
            shard for shard in self._queue if shard not in self._lost
        ]
        self._held = []
        self._queue = [shard for shard in self._queue if shard in self._lost]
        return free

    def mark_suspect(self) -> None:
        """A target was lost to the content elsewhere, meanwhile."""
        self._is_suspect = True

    def has_enough_canaries(self) -> bool:
        """Whether canaries that gave no verdict have cost enough time."""
        return (
            self._is_canary
            and not self._is_suspect
            and self._canaries >= _MAX_CANARIES
        )

    def pop_next_shard(self) -> _scatter_round.ShardState:
        """Return the shard to ask alone now.

        A further canary is one whose replicas are all others, so that a
        content that kills two targets leaves every shard a replica.
        """
        if self._is_canary:
            for shard in self._held:
                if self._queried_targets.isdisjoint(shard.shard.replicas):
                    self._canaries += 1
                    self._queried_targets.update(shard.shard.replicas)
                    self._held.remove(shard)
                    return shard
        if self._queue:
            return self._queue.pop(0)
        return self._held.pop(0)
