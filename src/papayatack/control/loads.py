"""What this node measures of its own shards, for the planner."""

from collections import defaultdict

from papayatack.core.identity import IncarnationId, ShardId
from papayatack.core.messages import LoadReport, ShardLoad

__all__ = ["LoadMeter"]

KEY_SAMPLE = 8
MAX_KEYS_COUNTED = 512
MAX_HOT_KEYS = 32
SHORT_REPORT = 4
REPORT_BUDGET = 4000
"""Shards that the reports of one round may name in all, so that the planner's share
of control bytes does not grow with the fleet."""


class LoadMeter:
    """Counts requests and their time, per shard and per key, between two reports."""

    def __init__(self, *, now: float) -> None:
        self._since_s = now
        self._requests: dict[ShardId, int] = defaultdict(int)
        self._busy_s: dict[ShardId, float] = defaultdict(float)
        self._keys: dict[ShardId, int] = {}
        self._key_parent: dict[ShardId, ShardId] = {}
        self._until_sample = KEY_SAMPLE

    def note_finish(self, shard: ShardId, service_time_s: float) -> None:
        """Count a request that has ended."""
        self._requests[shard] += 1
        self._busy_s[shard] += service_time_s

    def note_key(self, shard: ShardId, key_shard: ShardId) -> None:
        """Count a request for a key, named by the shard that it would be.

        One request in :data:`KEY_SAMPLE` is counted. Of many keys, the rarer half is
        forgotten now and then, so that a key that comes often stays.
        """
        self._until_sample -= 1
        if self._until_sample:
            return
        self._until_sample = KEY_SAMPLE
        self._keys[key_shard] = self._keys.get(key_shard, 0) + KEY_SAMPLE
        self._key_parent[key_shard] = shard
        if len(self._keys) > MAX_KEYS_COUNTED:
            self._forget_rare_keys()

    def _forget_rare_keys(self) -> None:
        ordered = sorted(self._keys, key=self._keys.__getitem__, reverse=True)
        for key_shard in ordered[MAX_KEYS_COUNTED // 2 :]:
            del self._keys[key_shard]
            del self._key_parent[key_shard]

    def make_report(
        self, incarnation: IncarnationId, *, members: int, leaving: bool, now: float
    ) -> LoadReport:
        """Return the report since the last one, and start anew."""
        elapsed_s = max(now - self._since_s, 1e-3)
        limit = max(SHORT_REPORT, REPORT_BUDGET // max(members, 1))
        shards = [
            ShardLoad(
                shard=shard,
                rate=self._requests[shard] / elapsed_s,
                busy=busy_s / elapsed_s,
            )
            for shard, busy_s in self._busy_s.items()
        ]
        shards.sort(key=lambda load: (-load.busy, load.shard))
        report = LoadReport(
            incarnation=incarnation,
            busy=sum(load.busy for load in shards),
            shards=tuple(shards[:limit]),
            hot_keys=self._list_hot_keys(elapsed_s, limit),
            leaving=leaving,
        )
        self._requests.clear()
        self._busy_s.clear()
        self._keys.clear()
        self._key_parent.clear()
        self._since_s = now
        return report

    def _list_hot_keys(self, elapsed_s: float, limit: int) -> tuple[ShardLoad, ...]:
        """Estimate the busiest keys' load by their share of their shard's requests."""
        found = []
        for key_shard, count in self._keys.items():
            parent = self._key_parent[key_shard]
            requests = self._requests.get(parent, 0)
            if not requests:
                continue
            share = min(count / requests, 1.0)
            found.append(
                ShardLoad(
                    shard=key_shard,
                    rate=count / elapsed_s,
                    busy=self._busy_s[parent] * share / elapsed_s,
                )
            )
        found.sort(key=lambda load: (-load.busy, load.shard))
        return tuple(found[: min(limit, MAX_HOT_KEYS)])
