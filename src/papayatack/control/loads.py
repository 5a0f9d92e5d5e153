"""What this node measures of its own shards, for the planner."""

import dataclasses
import math

from papayatack.core.identity import IncarnationId, ShardId
from papayatack.core.messages import LoadReport, ShardLoad

__all__ = ["LoadMeter"]

DECAY_TIME_S = 2.5
"""Time constant over which requests are remembered, so that a shard with a few
requests a second is not taken for a busy one or an idle one by chance."""

NEGLIGIBLE_REQUESTS = 0.05
MIN_HOT_KEY_REQUESTS = 3.0
"""Requests remembered of a key that counts as asked for often: fewer are chance."""

MAX_KEYS_COUNTED = 1024
MAX_HOT_KEYS = 64
MIN_SHARDS_PER_REPORT = 4
MAX_SHARDS_PER_ROUND = 4000
"""Shards that the reports of one round may name in all, so that the planner's share
of control bytes does not grow with the fleet."""


@dataclasses.dataclass(slots=True, kw_only=True)
class _DecayingSum:
    """A sum that fades, and what came since it was last faded."""

    value: float = 0.0
    pending: float = 0.0

    def decay(self, factor: float) -> float:
        """Let the past fade, add what is fresh, and return the sum."""
        self.value = self.value * factor + self.pending
        self.pending = 0.0
        return self.value


class LoadMeter:
    """Measures what is asked of each shard, and how long the upstream takes.

    A shard's load is what its requests would take if all were served: a node that
    refuses some is no less loaded for that, nor is one whose upstream runs none.
    """

    def __init__(self, *, now: float) -> None:
        self._last_report_s = now
        self._weight_s = 0.0
        self._arrivals: dict[ShardId, _DecayingSum] = {}
        self._keys: dict[ShardId, _DecayingSum] = {}
        self._parents: dict[ShardId, ShardId] = {}
        self._served = _DecayingSum()
        self._spent_time_s = _DecayingSum()
        self._service_s = 0.0

    def record_completion(self, shard: ShardId, service_time_s: float) -> None:
        """Count a request that the upstream ran."""
        self._served.pending += 1
        self._spent_time_s.pending += service_time_s

    def record_arrival(self, shard: ShardId, key_shard: ShardId) -> None:
        """Count a request that wants a key, named by the shard that it would be."""
        _count(self._arrivals, shard)
        if shard == key_shard:
            return
        _count(self._keys, key_shard)
        self._parents[key_shard] = shard
        if len(self._keys) > MAX_KEYS_COUNTED:
            self._evict_rare_keys()

    def make_report(
        self, incarnation: IncarnationId, *, members: int, leaving: bool, now: float
    ) -> LoadReport:
        """Return the report as of now."""
        factor = math.exp(-max(now - self._last_report_s, 0.0) / DECAY_TIME_S)
        self._last_report_s = now
        self._weight_s = self._weight_s * factor + DECAY_TIME_S * (1 - factor)
        served = self._served.decay(factor)
        spent_time_s = self._spent_time_s.decay(factor)
        if served > NEGLIGIBLE_REQUESTS:
            self._service_s = spent_time_s / served
        service_s = self._service_s
        limit = max(MIN_SHARDS_PER_REPORT, MAX_SHARDS_PER_ROUND // max(members, 1))
        shards = self._list_loads(self._arrivals, factor, service_s)
        keys = self._list_loads(
            self._keys, factor, service_s, min_requests=MIN_HOT_KEY_REQUESTS
        )
        self._parents = {key: self._parents[key] for key in self._keys}
        return LoadReport(
            incarnation=incarnation,
            busy=sum(load.busy for load in shards),
            shards=tuple(shards[:limit]),
            hot_keys=tuple(keys[: min(limit, MAX_HOT_KEYS)]),
            leaving=leaving,
            service_s=service_s,
        )

    def _list_loads(
        self,
        counts: dict[ShardId, _DecayingSum],
        factor: float,
        service_s: float,
        min_requests: float = NEGLIGIBLE_REQUESTS,
    ) -> list[ShardLoad]:
        """Return the loads, the greatest first, and forget what has faded."""
        found = []
        for shard, count in list(counts.items()):
            requests = count.decay(factor)
            if requests < NEGLIGIBLE_REQUESTS:
                del counts[shard]
                continue
            if requests < min_requests:
                continue
            rate = requests / max(self._weight_s, 1e-3)
            found.append(ShardLoad(shard=shard, rate=rate, busy=rate * service_s))
        found.sort(key=lambda load: (-load.rate, load.shard))
        return found

    def _evict_rare_keys(self) -> None:
        ordered = sorted(
            self._keys,
            key=lambda key: -(self._keys[key].value + self._keys[key].pending),
        )
        for key_shard in ordered[MAX_KEYS_COUNTED // 2 :]:
            del self._keys[key_shard]
            del self._parents[key_shard]


def _count(counts: dict[ShardId, _DecayingSum], shard: ShardId) -> None:
    count = counts.get(shard)
    if count is None:
        count = counts[shard] = _DecayingSum()
    count.pending += 1
