"""Runs a search on one shard first while its content may crash targets."""

import typing

import xxhash

from samphiredock.coordination.search import _scatter_round

_MAX_CANARIES = 2


class CanaryGate:
    """Holds shards back while the request content may crash its targets.

    A canary is a shard that is queried alone: no other request is in the same
    HTTP exchange with its target, and the other shards are held.  The order
    in which shards and replicas are queried alone depends only on the
    content, so that copies of it at several daemons crash the same targets
    instead of one per daemon.

    Parameters
    ----------
    fingerprint
        Identifies the request content.
    canary
        Query one shard alone first.
    suspect
        A target was lost to this content before: send one attempt at a time
        until one has succeeded.
    """

    def __init__(self, fingerprint: str, canary: bool, suspect: bool) -> None:
        self._fingerprint = fingerprint
        self._in_canary_phase = canary or suspect
        self._is_serial = self._in_canary_phase
        self._is_suspect = suspect
        self._canaries = 0
        self._held: list[_scatter_round.ShardState] = []
        self._queue: list[_scatter_round.ShardState] = []
        self._shards_with_loss: list[_scatter_round.ShardState] = []
        self._queried_targets: set[str] = set()

    def begin(
        self, shards: list[_scatter_round.ShardState]
    ) -> list[_scatter_round.ShardState]:
        """Begin a round and return the shards to query now.

        These are all shards, or none if they must be queried alone.
        """
        self._is_serial = self._is_serial or self._is_suspect
        self._in_canary_phase = self._is_serial
        self._canaries = 0
        self._queue.clear()
        self._shards_with_loss.clear()
        if not self._in_canary_phase:
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
        """Return the replica to query alone; depends on the content only."""
        return min(replicas, key=self._rank)

    def may_add_canary(self) -> bool:
        """Return whether an overdue canary may be joined by another one."""
        return (
            self._in_canary_phase
            and not self._is_suspect
            and self._canaries < _MAX_CANARIES
            and bool(self._held)
        )

    def must_run_alone(self, shard: _scatter_round.ShardState) -> bool:
        """Return whether a shard may only be queried alone."""
        return self._is_serial or shard in self._shards_with_loss

    def allows_hedges(self) -> bool:
        """Return whether two targets may run the content at the same time."""
        return not self._is_suspect

    def has_waiting(self) -> bool:
        """Return whether a shard waits to be queried alone."""
        return bool(self._queue) or (
            self._in_canary_phase and bool(self._held)
        )

    def enqueue(self, shard: _scatter_round.ShardState) -> None:
        """Queue a shard to be queried alone."""
        self._queue.append(shard)

    def record_loss(self, shard: _scatter_round.ShardState) -> None:
        """Record that a target was lost while it ran the content.

        The shard is queued, to be queried alone.
        """
        self._is_suspect = True
        if self._in_canary_phase or shard in self._shards_with_loss:
            self._is_serial = True
        if shard not in self._shards_with_loss:
            self._shards_with_loss.append(shard)
        self._queue.append(shard)

    def record_success(self, shard: _scatter_round.ShardState) -> bool:
        """Record that a shard answered alone.

        Returns whether the content is no longer a suspect.  It remains one
        while another shard has a loss: it may crash only that shard's
        targets.
        """
        if shard in self._shards_with_loss:
            self._shards_with_loss.remove(shard)
        if self._shards_with_loss:
            return False
        self._is_suspect = False
        return True

    def release(self) -> list[_scatter_round.ShardState]:
        """End the canary phase and return the shards to query now.

        Shards with a loss stay queued, to be queried alone.
        """
        self._in_canary_phase = False
        self._is_serial = False
        free = self._held + [
            shard
            for shard in self._queue
            if shard not in self._shards_with_loss
        ]
        self._held = []
        self._queue = [
            shard for shard in self._queue if shard in self._shards_with_loss
        ]
        return free

    def mark_suspect(self) -> None:
        """Record that another search lost a target to the content."""
        self._is_suspect = True

    def has_enough_canaries(self) -> bool:
        """Return whether to stop sending canaries.

        The limit bounds the delay when canaries neither succeed nor crash.
        """
        return (
            self._in_canary_phase
            and not self._is_suspect
            and self._canaries >= _MAX_CANARIES
        )

    def pop_next_shard(self) -> _scatter_round.ShardState:
        """Return the next shard to query alone.

        A further canary shares no replica with those before, so that a
        content that crashes two targets leaves a replica of every shard.
        """
        if self._in_canary_phase:
            for shard in self._held:
                if self._queried_targets.isdisjoint(shard.shard.replicas):
                    self._canaries += 1
                    self._queried_targets.update(shard.shard.replicas)
                    self._held.remove(shard)
                    return shard
        if self._queue:
            return self._queue.pop(0)
        return self._held.pop(0)
