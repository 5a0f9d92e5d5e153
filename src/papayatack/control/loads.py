"""What this node measures of its own shards, for the planner."""

import dataclasses
import math

from papayatack.core.identity import IncarnationId, ShardId
from papayatack.core.messages import LoadReport, ShardLoad

__all__ = ["LoadMeter"]

MEMORY_S = 2.5
"""Time constant over which requests are remembered, so that a shard with a few
requests a second is not taken for a busy one or an idle one by chance."""

NEGLIGIBLE = 0.05
LEAST_REQUESTS = 3.0
"""Requests remembered of a key that counts as asked for often: fewer are chance."""

MAX_KEYS_COUNTED = 1024
MAX_HOT_KEYS = 64
SHORT_REPORT = 4
REPORT_BUDGET = 4000
"""Shards that the reports of one round may name in all, so that the planner's share
of control bytes does not grow with the fleet."""


@dataclasses.dataclass(slots=True, kw_only=True)
class _Faded:
    """A sum that fades, and what came since it was last faded."""

    value: float = 0.0
    fresh: float = 0.0

    def fade(self, factor: float) -> float:
        """Let the past fade, add what is fresh, and return the sum."""
        self.value = self.value * factor + self.fresh
        self.fresh = 0.0
        return self.value


class LoadMeter:
    """Measures what is asked of each shard, and how long the upstream takes.

    A shard's load is what its requests would take if all were served: a node that
    refuses some is no less loaded for that, nor is one whose upstream runs none.
    """

    def __init__(self, *, now: float) -> None:
        self._since_s = now
        self._weight_s = 0.0
        self._arrivals: dict[ShardId, _Faded] = {}
        self._keys: dict[ShardId, _Faded] = {}
        self._key_parent: dict[ShardId, ShardId] = {}
        self._served = _Faded()
        self._spent_s = _Faded()
        self._service_s = 0.0

    def record_completion(self, shard: ShardId, service_time_s: float) -> None:
        """Count a request that the upstream ran."""
        self._served.fresh += 1
        self._spent_s.fresh += service_time_s

    def record_arrival(self, shard: ShardId, key_shard: ShardId) -> None:
        """Count a request that wants a key, named by the shard that it would be."""
        _count(self._arrivals, shard)
        if shard == key_shard:
            return
        _count(self._keys, key_shard)
        self._key_parent[key_shard] = shard
        if len(self._keys) > MAX_KEYS_COUNTED:
            self._forget_rare_keys()

    def make_report(
        self, incarnation: IncarnationId, *, members: int, leaving: bool, now: float
    ) -> LoadReport:
        """Return the report as of now."""
        factor = math.exp(-max(now - self._since_s, 0.0) / MEMORY_S)
        self._since_s = now
        self._weight_s = self._weight_s * factor + MEMORY_S * (1 - factor)
        served = self._served.fade(factor)
        spent_s = self._spent_s.fade(factor)
        if served > NEGLIGIBLE:
            self._service_s = spent_s / served
        service_s = self._service_s
        limit = max(SHORT_REPORT, REPORT_BUDGET // max(members, 1))
        shards = self._list_loads(self._arrivals, factor, service_s)
        keys = self._list_loads(self._keys, factor, service_s, least=LEAST_REQUESTS)
        self._key_parent = {key: self._key_parent[key] for key in self._keys}
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
        counts: dict[ShardId, _Faded],
        factor: float,
        service_s: float,
        least: float = NEGLIGIBLE,
    ) -> list[ShardLoad]:
        """Return the loads, the greatest first, and forget what has faded."""
        found = []
        for shard, count in list(counts.items()):
            requests = count.fade(factor)
            if requests < NEGLIGIBLE:
                del counts[shard]
                continue
            if requests < least:
                continue
            rate = requests / max(self._weight_s, 1e-3)
            found.append(ShardLoad(shard=shard, rate=rate, busy=rate * service_s))
        found.sort(key=lambda load: (-load.rate, load.shard))
        return found

    def _forget_rare_keys(self) -> None:
        ordered = sorted(
            self._keys,
            key=lambda key: -(self._keys[key].value + self._keys[key].fresh),
        )
        for key_shard in ordered[MAX_KEYS_COUNTED // 2 :]:
            del self._keys[key_shard]
            del self._key_parent[key_shard]


def _count(counts: dict[ShardId, _Faded], shard: ShardId) -> None:
    count = counts.get(shard)
    if count is None:
        count = counts[shard] = _Faded()
    count.fresh += 1
