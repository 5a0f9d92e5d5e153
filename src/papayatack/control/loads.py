"""Measures the load of the shards that this node owns, for the planner."""

import dataclasses
import math

from papayatack.core.identity import IncarnationId, ShardId
from papayatack.core.messages import LoadReport, ShardLoad

__all__ = ["LoadMeter"]

DECAY_TIME_S = 4.0
"""Time constant of the exponential decay of request counts. It is long enough that a
shard with a few requests per second does not appear busy or idle by chance."""

SERVICE_TIME_DECAY_S = 10.0
"""Time constant of the decay of the mean service time, from which the planner infers
the speed of the upstream. Service times vary more than rates: with a shorter one,
chance would make some upstreams appear slow, and their shards would move."""

NEGLIGIBLE_REQUESTS = 0.05
"""Decayed count below which a shard or key is no longer tracked."""

MIN_HOT_KEY_REQUESTS = 3.0
"""Minimum decayed count for a key to be reported as hot; fewer may be chance."""

MAX_KEYS_COUNTED = 1024
MAX_HOT_KEYS = 64
"""Maximum number of hot keys in a report."""

MIN_SHARDS_PER_REPORT = 4
"""Number of shards that a report may always name, however many members there are."""

MAX_SHARDS_PER_ROUND = 4000
"""Maximum number of shards named in total by one report from every member. It keeps the
volume of reports to the planner from growing with the number of nodes."""


@dataclasses.dataclass(slots=True, kw_only=True)
class _DecayingSum:
    """An exponentially decaying sum.

    Attributes:
        value: The sum as of the last decay.
        pending: Amount added since then.
    """

    value: float = 0.0
    pending: float = 0.0

    def decay(self, factor: float) -> float:
        """Decay the sum by a factor, add the pending amount, and return the result."""
        self.value = self.value * factor + self.pending
        self.pending = 0.0
        return self.value


class LoadMeter:
    """Measures the request rate of each shard and the upstream's service time.

    The load of a shard is the processing time that its requests would need if all were
    served. It therefore does not fall when the node refuses requests, nor when its
    upstream runs none.

    Args:
        now: Time of the event loop in seconds.
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
        """Record a request that the upstream completed, and its service time."""
        self._served.pending += 1
        self._spent_time_s.pending += service_time_s

    def record_arrival(self, shard: ShardId, key_shard: ShardId) -> None:
        """Record a request for a key.

        Args:
            shard: The shard that contains the key.
            key_shard: The shard that the key would get if it were split off.
        """
        _count(self._arrivals, shard)
        if shard == key_shard:
            return
        _count(self._keys, key_shard)
        self._parents[key_shard] = shard
        if len(self._keys) > MAX_KEYS_COUNTED:
            self._evict_rare_keys()

    def make_report(
        self,
        incarnation: IncarnationId,
        *,
        members: int,
        leaving: bool,
        now: float,
        requests_per_s: float | None = None,
    ) -> LoadReport:
        """Return the load report as of ``now`` and start the next interval.

        Args:
            incarnation: The local incarnation.
            members: Number of members, which bounds the size of the report.
            leaving: Whether the node is shutting down.
            now: Time of the event loop in seconds.
            requests_per_s: Limit that the upstream names, if it names one.
        """
        elapsed_s = max(now - self._last_report_s, 0.0)
        factor = math.exp(-elapsed_s / DECAY_TIME_S)
        service_factor = math.exp(-elapsed_s / SERVICE_TIME_DECAY_S)
        self._last_report_s = now
        self._weight_s = self._weight_s * factor + DECAY_TIME_S * (1 - factor)
        served = self._served.decay(service_factor)
        spent_time_s = self._spent_time_s.decay(service_factor)
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
            requests_per_s=requests_per_s or 0.0,
        )

    def _list_loads(
        self,
        counts: dict[ShardId, _DecayingSum],
        factor: float,
        service_s: float,
        min_requests: float = NEGLIGIBLE_REQUESTS,
    ) -> list[ShardLoad]:
        """Return the loads in descending order, and remove negligible counts."""
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
