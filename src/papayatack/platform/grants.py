"""Grants of contiguous key ranges to the own upstream.

Implements :class:`papayatack.control.interface.GrantSink`. The upstream counts a
grant's time from its arrival, and may take in one that had no answer seconds later: a
key counts as held until the latest time at which any of its grants can run out.
"""

import asyncio
import dataclasses
import json
import logging
from collections.abc import Callable, Collection, Iterable, Mapping

from returns.pipeline import is_successful
from returns.result import Failure, Result, Success

from papayatack.core.errors import ErrorKind, Refusal
from papayatack.core.identity import LeaseId, ShardId
from papayatack.core.shards import find_slice, is_hot
from papayatack.network.exchanges import Response, find_header
from papayatack.network.grants import build_json_request
from papayatack.network.upstreams import UpstreamPool
from papayatack.observability.events import Event, log_event
from papayatack.platform.fields import HANDOVER
from papayatack.platform.times import format_ms
from papayatack.proxy.settling import settle_response

__all__ = ["RangeGrants"]

LOGGER = logging.getLogger(__name__)

MICROSECONDS = 1_000_000
MS_PER_S = 1000
CLOCK_RATE_BOUND = 0.02
ARRIVAL_S = 0.3
"""Longest time that a grant takes to arrive at the upstream of the same machine."""

LEAST_HOLD_S = 0.02
"""A shorter grant would be over before its first request."""

RELEASE_TIMEOUT_S = 2.0
MAX_CALLS = 8
"""Grants at once; each takes one of the connections that the upstream accepts."""

MAX_RELEASES = 24
"""Releases at once; each lasts as long as the work under it."""

MAX_RANGES_LOGGED = 4
FRESH_S = 0.3
OK = 200


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True, order=True)
class _KeyRange:
    """Neighbouring keys under one token; ``last`` is included."""

    first: int
    last: int
    token: int
    handover: str = ""


@dataclasses.dataclass(slots=True, kw_only=True)
class _Held:
    """A shard that the upstream holds or may hold.

    Attributes:
        lease: The lease under which it is granted.
        token: The token of its newest grant.
        until_s: When the last of its answered grants runs out.
    """

    lease: LeaseId
    token: int
    until_s: float


class RangeGrants:
    """Tells the own upstream which keys it may serve.

    Args:
        list_hot: Returns the hot slices that are shards of their own.

    Attributes:
        pool: Connections to the upstream, ``None`` while there is none.
    """

    def __init__(self, *, list_hot: Callable[[], Collection[ShardId]]) -> None:
        self.pool: UpstreamPool | None = None
        self._list_hot = list_hot
        self._held: dict[ShardId, _Held] = {}
        self._late_s: dict[ShardId, float] = {}
        self._releasing: set[ShardId] = set()
        self._grant_slots = asyncio.Semaphore(MAX_CALLS)
        self._release_slots = asyncio.Semaphore(MAX_RELEASES)
        self._calls: dict[asyncio.Future[bool], frozenset[ShardId]] = {}

    def forget(self) -> None:
        """Forget what an upstream held that has ended for sure."""
        self._held.clear()
        self._late_s.clear()
        self._releasing.clear()

    async def grant(
        self,
        lease: LeaseId,
        tokens: Mapping[ShardId, int],
        remaining_us: int,
        handovers: Mapping[ShardId, str] | None = None,
    ) -> Result[None, Refusal]:
        """Grant shards with their fencing tokens, before the first request."""
        if self.pool is None:
            return _refuse("no upstream runs here")
        self._releasing.difference_update(tokens)
        left = {
            shard: token
            for shard, token in tokens.items()
            if not self._has(lease, shard, token)
        }
        return await self._send_grants(lease, left, remaining_us, handovers or {})

    def _has(self, lease: LeaseId, shard: ShardId, token: int) -> bool:
        """Tell whether the upstream holds a shard for a while yet."""
        held = self._held.get(shard)
        if held is None or (held.lease, held.token) != (lease, token):
            return False
        return held.until_s > asyncio.get_running_loop().time() + FRESH_S

    async def extend(self, lease: LeaseId, remaining_us: int) -> Result[None, Refusal]:
        """Extend all grants of a lease."""
        self._forget_returned()
        tokens = {
            shard: held.token
            for shard, held in self._held.items()
            if held.lease == lease and shard not in self._releasing
        }
        if self.pool is None or not tokens:
            return Success(None)
        return await self._send_grants(lease, tokens, remaining_us, {})

    async def revoke(
        self, lease: LeaseId, shards: tuple[ShardId, ...]
    ) -> Result[Mapping[ShardId, str], Refusal]:
        """End the grants of shards; return what lets another take them over warm.

        Grants under way are waited for, since one that comes after the release would
        stand; also those of a slice from which a hot one was split meanwhile.
        """
        wanted = frozenset(shards)
        self._releasing |= wanted
        pending = [
            call
            for call, known in self._calls.items()
            if any(_list_overlapping(shard, known) for shard in wanted)
        ]
        if pending:
            await asyncio.wait(pending)
        found = {shard: self._find_held(shard) for shard in shards}
        found = {shard: held for shard, held in found.items() if held is not None}
        answers = await asyncio.gather(
            *(self._release(shard, entry) for shard, entry in found.items())
        )
        await self._wait_late(wanted)
        for shard in shards:
            self._held.pop(shard, None)
        self._releasing -= wanted
        handovers = dict(zip(found, answers, strict=True))
        return Success({shard: text for shard, text in handovers.items() if text})

    def _find_held(self, shard: ShardId) -> "_Held | None":
        """Return how a shard is held; a hot one perhaps still with its parent."""
        held = self._held.get(shard)
        if held is not None or not is_hot(shard):
            return held
        parents = _list_overlapping(shard, self._held)
        return self._held[parents[0]] if parents else None

    def _forget_returned(self) -> None:
        """Forget hot slices that belong to their parent again, under its token."""
        hot = set(self._list_hot())
        for shard in [s for s in self._held if is_hot(s) and s not in hot]:
            del self._held[shard]

    async def _send_grants(
        self,
        lease: LeaseId,
        tokens: Mapping[ShardId, int],
        remaining_us: int,
        handovers: Mapping[ShardId, str],
    ) -> Result[None, Refusal]:
        end_s = asyncio.get_running_loop().time() + remaining_us / MICROSECONDS
        call = asyncio.ensure_future(
            self._grant_ranges(lease, tokens, end_s, handovers)
        )
        self._calls[call] = frozenset(tokens)
        call.add_done_callback(self._calls.pop)
        done = await asyncio.shield(call)
        return Success(None) if done else _refuse("a grant was not confirmed")

    async def _grant_ranges(
        self,
        lease: LeaseId,
        tokens: Mapping[ShardId, int],
        end_s: float,
        handovers: Mapping[ShardId, str],
    ) -> bool:
        """Send the grants; note which the upstream has and which it may have."""
        ranges = self._merge(tokens, handovers)
        answers = await asyncio.gather(
            *(self._call_grant(key_range, end_s) for key_range in ranges)
        )
        failed = [
            (part, answer)
            for part, answer in zip(ranges, answers, strict=True)
            if answer is None or answer.status != OK
        ]
        if failed:
            _note_failures(failed, left_s=end_s - asyncio.get_running_loop().time())
        for shard, token in tokens.items():
            _, first, last = find_slice(shard)
            missing = [
                answer
                for part, answer in failed
                if part.first <= last and first <= part.last
            ]
            if any(answer is None for answer in missing):
                self._late_s[shard] = end_s + ARRIVAL_S
            known = self._held.get(shard)
            if not missing and (known is None or known.token <= token):
                self._held[shard] = _Held(lease=lease, token=token, until_s=end_s)
        return not failed

    def _merge(
        self, tokens: Mapping[ShardId, int], handovers: Mapping[ShardId, str]
    ) -> list[_KeyRange]:
        """Return the fewest ranges that cover just these shards."""
        ranges: list[_KeyRange] = []
        for part in sorted(self._cut(tokens, handovers)):
            last = ranges[-1] if ranges else None
            joins = (
                last is not None
                and last.last + 1 == part.first
                and (last.token, last.handover) == (part.token, part.handover)
                and not part.handover
            )
            if joins and last is not None:
                ranges[-1] = dataclasses.replace(last, last=part.last)
            else:
                ranges.append(part)
        return ranges

    def _cut(
        self, tokens: Mapping[ShardId, int], handovers: Mapping[ShardId, str]
    ) -> Iterable[_KeyRange]:
        """Yield each shard's keys without the hot slices within it."""
        hot = sorted(find_slice(shard) for shard in self._list_hot())
        for shard, token in tokens.items():
            service, first, last = find_slice(shard)
            known = _split_handovers(handovers.get(shard, ""))
            holes = [
                (start, end)
                for other, start, end in hot
                if other == service and first <= start <= last and not is_hot(shard)
            ]
            for start, end in (*holes, (last + 1, last + 1)):
                if first < start:
                    yield _KeyRange(
                        first=first,
                        last=start - 1,
                        token=token,
                        handover=known.get(f"{first}-{start - 1}", ""),
                    )
                first = end + 1

    async def _release(self, shard: ShardId, held: _Held) -> str:
        """Return the upstream's handover, empty if it gave none.

        One that does not answer holds the shard until its grants have run out.
        """
        parts = self._merge({shard: held.token}, {})
        answers = await asyncio.gather(*(self._call_release(part) for part in parts))
        if all(answer is not None and answer.status == OK for answer in answers):
            return _join_handovers(parts, answers)
        now = asyncio.get_running_loop().time()
        await asyncio.sleep(max(0.0, held.until_s - now))
        return ""

    async def _wait_late(self, shards: frozenset[ShardId]) -> None:
        """Wait until grants without an answer can no longer be taken in."""
        late_s = [
            self._late_s[other]
            for shard in shards
            for other in _list_overlapping(shard, self._late_s)
        ]
        now = asyncio.get_running_loop().time()
        await asyncio.sleep(max(0.0, max(late_s, default=0.0) - now))
        for shard in shards:
            self._late_s.pop(shard, None)

    async def _call_grant(self, key_range: _KeyRange, end_s: float) -> Response | None:
        """Grant until ``end_s``, whatever time passes before the grant is sent.

        The upstream counts from the arrival: only what is left when a connection is at
        hand may be named.
        """

        def describe() -> Mapping[str, object] | None:
            left_s = end_s - asyncio.get_running_loop().time()
            hold_s = left_s * (1 - CLOCK_RATE_BOUND)
            return _describe(key_range, hold_s) if hold_s >= LEAST_HOLD_S else None

        async with self._grant_slots:
            return await self._call(b"/grant", describe, end_s)

    async def _call_release(self, key_range: _KeyRange) -> Response | None:
        end_s = asyncio.get_running_loop().time() + RELEASE_TIMEOUT_S
        async with self._release_slots:
            return await self._call(b"/release", lambda: _describe(key_range), end_s)

    async def _call(
        self,
        target: bytes,
        describe: Callable[[], Mapping[str, object] | None],
        deadline_s: float,
    ) -> Response | None:
        """Return the upstream's answer, ``None`` if it may or may not have acted.

        Args:
            target: The path to call.
            describe: Returns the document once a connection is at hand, ``None`` if
                nothing may be sent any more.
            deadline_s: Event loop time by which the answer must be here.
        """
        pool = self.pool
        if pool is None:
            return None
        reserved = await pool.reserve(deadline_s=deadline_s)
        if not is_successful(reserved):
            return None
        connection = reserved.unwrap()
        document = describe()
        if document is None:
            pool.return_connection(connection)
            return None
        data = json.dumps(document).encode()
        request = build_json_request(pool.address, b"POST", target, data)
        result = await connection.exchange(request, deadline_s=deadline_s)
        if not is_successful(result):
            return None
        settled = await settle_response(result.unwrap())
        return settled.unwrap() if is_successful(settled) else None


def _list_overlapping(shard: ShardId, others: Iterable[ShardId]) -> list[ShardId]:
    """Return which shards have keys in common with this one."""
    service, first, last = find_slice(shard)
    found = ((other, *find_slice(other)) for other in others)
    return [
        other
        for other, name, start, end in found
        if name == service and start <= last and first <= end
    ]


def _note_failures(
    failed: list[tuple[_KeyRange, Response | None]], left_s: float
) -> None:
    """Log which ranges the upstream did not take, and its answers."""
    log_event(
        LOGGER,
        Event.GRANT_FAILED,
        level=logging.WARNING,
        count=len(failed),
        left_ms=int(left_s * MS_PER_S),
        ranges=[
            {
                "keys": f"{part.first}-{part.last}",
                "token": part.token,
                "status": answer.status if answer is not None else None,
            }
            for part, answer in failed[:MAX_RANGES_LOGGED]
        ],
    )


def _join_handovers(parts: list[_KeyRange], answers: list[Response | None]) -> str:
    """Return the upstream's handovers with the keys that each is for."""
    found = []
    for part, answer in zip(parts, answers, strict=True):
        value = find_header(answer.headers, HANDOVER) if answer is not None else None
        if value:
            found.append(f"{part.first}-{part.last}:{value.decode('latin-1')}")
    return ";".join(found)


def _split_handovers(text: str) -> dict[str, str]:
    """Return the handovers by their keys."""
    pairs = (item.partition(":") for item in text.split(";") if item)
    return {keys: value for keys, _, value in pairs}


def _describe(
    key_range: _KeyRange, hold_s: float | None = None
) -> Mapping[str, object]:
    """Return a grant, or without a time a release, as the upstream reads it."""
    document: dict[str, object] = {
        "From": key_range.first,
        "To": key_range.last,
        "fence": key_range.token,
    }
    if hold_s is not None:
        document["Hold"] = format_ms(hold_s)
    if key_range.handover:
        document["Handover"] = key_range.handover
    return document


def _refuse(detail: str) -> Failure[Refusal]:
    return Failure(Refusal(kind=ErrorKind.GRANT_REFUSED, detail=detail))
