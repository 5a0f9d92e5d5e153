"""Grants of contiguous key ranges to the own upstream.

Implements :class:`papayatack.control.interface.GrantSink`. The upstream counts a
grant's time from its arrival, and may take in one that had no answer seconds later: a
key counts as held until the latest time at which any of its grants can run out.
"""

import asyncio
import contextlib
import dataclasses
import json
import logging
from collections.abc import Callable, Collection, Iterable, Mapping

from returns.pipeline import is_successful
from returns.result import Failure, Result, Success

from papayatack.core.errors import ErrorKind, Refusal
from papayatack.core.identity import LeaseId, ShardId
from papayatack.core.ownership.grant_history import GrantHistory
from papayatack.core.shards import is_hot_shard, parse_slice
from papayatack.network.exchanges import Response
from papayatack.network.grants import build_json_request
from papayatack.network.upstreams import UpstreamPool
from papayatack.observability.events import Event, log_event
from papayatack.platform.ranges import (
    KeyRange,
    cut_shard,
    describe_range,
    join_handovers,
    list_overlapping,
    merge_ranges,
    split_handovers,
)
from papayatack.proxy.buffering import buffer_response

__all__ = ["RangeGrants"]

LOGGER = logging.getLogger(__name__)

MICROSECONDS = 1_000_000
MS_PER_S = 1000
CLOCK_RATE_BOUND = 0.02
ARRIVAL_S = 0.3
"""Longest time that a grant takes to arrive at the upstream of the same machine."""

LEAST_HOLD_S = 0.02
"""A shorter grant would be over before its first request."""

FIRST_ANSWER_S = 0.3
"""Time that the first attempt of a grant has for its answer; each further one has twice
as long. The same call again renews the grant."""

RELEASE_TIMEOUT_S = 2.0
MAX_CALLS = 8
"""Grants at once; each takes one of the connections that the upstream accepts."""

MAX_RELEASES = 24
"""Releases at once; each lasts as long as the work under it."""

MAX_RANGES_LOGGED = 4
FRESH_S = 0.3
OK = 200
NOT_SENT = Response(status=0)
"""Stands for the answer to a call that the upstream has not got."""


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class _Granted:
    """A shard whose newest grant the upstream has confirmed.

    Attributes:
        lease: The lease under which it is granted.
        token: Its token.
        until_s: When it runs out.
    """

    lease: LeaseId
    token: int
    until_s: float


class _Life:
    """One life of the upstream, and what is under way to it.

    Attributes:
        pool: Connections to it, ``None`` while there is none.
        granted: Shards to be renewed.
        asked: Token of the newest grant that was asked for, by shard.
        releasing: Shards that are not to be renewed.
        calls: Grants under way, with their shards.
        ended: Set when the next life has begun.
    """

    def __init__(self) -> None:
        self.pool: UpstreamPool | None = None
        self.granted: dict[ShardId, _Granted] = {}
        self.asked: dict[ShardId, int] = {}
        self.releasing: set[ShardId] = set()
        self.calls: dict[asyncio.Future[bool], frozenset[ShardId]] = {}
        self.ended = asyncio.Event()


class RangeGrants:
    """Tells the own upstream which keys it may serve.

    What it may hold is kept by key in :class:`Holdings`, whatever shard or lease a
    grant was sent for: that decides what may be sent, and when a release is over.

    Args:
        list_hot: Returns the hot slices that are shards of their own.
    """

    def __init__(self, *, list_hot: Callable[[], Collection[ShardId]]) -> None:
        self._list_hot = list_hot
        self._holdings = GrantHistory()
        self._life = _Life()
        self._grant_slots = asyncio.Semaphore(MAX_CALLS)
        self._release_slots = asyncio.Semaphore(MAX_RELEASES)

    @property
    def pool(self) -> UpstreamPool | None:
        """Connections to the upstream, ``None`` while there is none."""
        return self._life.pool

    @pool.setter
    def pool(self, pool: UpstreamPool | None) -> None:
        self._life.pool = pool

    def forget(self, *, is_certain: bool = True) -> None:
        """Begin a new life of the upstream; what is under way to the old one ends.

        Args:
            is_certain: The old one has ended; otherwise its grants are waited out.
        """
        self._holdings.record_restart(is_certain=is_certain, delivery_s=ARRIVAL_S)
        self._life.ended.set()
        self._life = _Life()

    async def grant(
        self,
        lease: LeaseId,
        tokens: Mapping[ShardId, int],
        remaining_us: int,
        handovers: Mapping[ShardId, str] | None = None,
    ) -> Result[None, Refusal]:
        """Grant shards with their fencing tokens, before the first request."""
        life = self._life
        if life.pool is None:
            return _refuse("no upstream runs here")
        life.releasing.difference_update(tokens)
        life.asked.update(tokens)
        left = {
            shard: token
            for shard, token in tokens.items()
            if not self._has(lease, shard, token)
        }
        return await self._send_grants(lease, left, remaining_us, handovers or {})

    def _has(self, lease: LeaseId, shard: ShardId, token: int) -> bool:
        """Tell whether the upstream holds a shard for a while yet."""
        granted = self._life.granted.get(shard)
        if granted is None or (granted.lease, granted.token) != (lease, token):
            return False
        return granted.until_s > asyncio.get_running_loop().time() + FRESH_S

    async def extend(self, lease: LeaseId, remaining_us: int) -> Result[None, Refusal]:
        """Extend all grants of a lease, but those of slices that returned."""
        hot = set(self._list_hot())
        tokens = {
            shard: granted.token
            for shard, granted in self._life.granted.items()
            if granted.lease == lease and (not is_hot_shard(shard) or shard in hot)
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
        life = self._life
        wanted = frozenset(shards)
        life.releasing |= wanted
        for shard in shards:
            life.granted.pop(shard, None)
        pending = [
            call
            for call, known in life.calls.items()
            if any(list_overlapping(shard, known) for shard in wanted)
        ]
        if pending:
            await asyncio.wait(pending)
        parts = {shard: self._list_standing(life, shard) for shard in shards}
        answers = await asyncio.gather(
            *(self._release(life, parts[shard]) for shard in shards)
        )
        await self._wait_free([part for found in parts.values() for part in found])
        life.releasing -= wanted
        for shard in shards:
            life.asked.pop(shard, None)
        handovers = dict(zip(shards, answers, strict=True))
        return Success({shard: text for shard, text in handovers.items() if text})

    def _list_standing(self, life: _Life, shard: ShardId) -> list[KeyRange]:
        """Return the ranges of a shard that the upstream may hold.

        Keys of a hot slice that are granted with its parent again stay there.
        """
        now = asyncio.get_running_loop().time()
        newest = life.asked.get(shard)
        returned = is_hot_shard(shard) and shard not in self._list_hot()
        found = []
        for first, last in cut_shard(shard, self._find_hot()):
            known = list(self._holdings.list_ranges(first, last))
            token = max(part.token for part in known)
            if returned and newest is not None and token > newest:
                continue
            if max(part.latest_expiry_s for part in known) + ARRIVAL_S > now:
                found.append(KeyRange(first=first, last=last, token=token))
        return found

    async def _send_grants(
        self,
        lease: LeaseId,
        tokens: Mapping[ShardId, int],
        remaining_us: int,
        handovers: Mapping[ShardId, str],
    ) -> Result[None, Refusal]:
        life = self._life
        end_s = asyncio.get_running_loop().time() + remaining_us / MICROSECONDS
        call = asyncio.ensure_future(
            self._grant_ranges(life, lease, tokens, end_s, handovers)
        )
        life.calls[call] = frozenset(tokens)
        call.add_done_callback(life.calls.pop)
        done = await asyncio.shield(call)
        return Success(None) if done else _refuse("a grant was not confirmed")

    async def _grant_ranges(
        self,
        life: _Life,
        lease: LeaseId,
        tokens: Mapping[ShardId, int],
        end_s: float,
        handovers: Mapping[ShardId, str],
    ) -> bool:
        """Send the grants; note which the upstream has and which it may have."""
        ranges, withheld = self._list_wanted(tokens, handovers)
        answers = await asyncio.gather(
            *(self._call_grant(life, key_range, end_s) for key_range in ranges)
        )
        if life.ended.is_set():
            return False
        failed = [
            (part, answer)
            for part, answer in zip(ranges, answers, strict=True)
            if answer is None or answer.status != OK
        ]
        failed.extend((part, NOT_SENT) for part in withheld)
        if failed:
            _note_failures(failed, left_s=end_s - asyncio.get_running_loop().time())
        for shard, token in tokens.items():
            _, first, last = parse_slice(shard)
            missing = any(
                part.first <= last and first <= part.last for part, _ in failed
            )
            known = life.granted.get(shard)
            newer = known is None or known.token <= token
            if not missing and newer and shard not in life.releasing:
                life.granted[shard] = _Granted(lease=lease, token=token, until_s=end_s)
        return not failed

    def _list_wanted(
        self, tokens: Mapping[ShardId, int], handovers: Mapping[ShardId, str]
    ) -> tuple[list[KeyRange], list[KeyRange]]:
        """Return the fewest ranges that cover just these shards.

        Those that may not be sent come apart: their keys have had a higher token, or
        an earlier life of the upstream may hold them.
        """
        now = asyncio.get_running_loop().time()
        ranges: list[KeyRange] = []
        withheld: list[KeyRange] = []
        for part in sorted(self._divide(tokens, handovers)):
            known = list(self._holdings.list_ranges(part.first, part.last))
            if all(holding.accepts_token(part.token, now) for holding in known):
                ranges.append(part)
                continue
            for holding in known:
                piece = dataclasses.replace(
                    part, first=holding.first, last=holding.last, handover=""
                )
                may_take = holding.accepts_token(part.token, now)
                (ranges if may_take else withheld).append(piece)
        return merge_ranges(ranges), withheld

    def _divide(
        self, tokens: Mapping[ShardId, int], handovers: Mapping[ShardId, str]
    ) -> Iterable[KeyRange]:
        """Yield each shard's ranges with their handovers."""
        hot = self._find_hot()
        for shard, token in tokens.items():
            known = split_handovers(handovers.get(shard, ""))
            for first, last in cut_shard(shard, hot):
                yield KeyRange(
                    first=first,
                    last=last,
                    token=token,
                    handover=known.get(f"{first}-{last}", ""),
                )

    def _find_hot(self) -> list[tuple[str, int, int]]:
        """Return the hot slices that are shards of their own, by their keys."""
        return sorted(map(parse_slice, self._list_hot()))

    async def _release(self, life: _Life, parts: list[KeyRange]) -> str:
        """Return the upstream's handover, empty if it gave none."""
        answers = await asyncio.gather(
            *(self._call_release(life, part) for part in parts)
        )
        if life.ended.is_set():
            return ""
        for part, answer in zip(parts, answers, strict=True):
            if answer is not None and answer.status == OK:
                self._holdings.note_released(part.first, part.last, part.token)
        if all(answer is not None and answer.status == OK for answer in answers):
            return join_handovers(parts, answers)
        return ""

    async def _wait_free(self, parts: list[KeyRange]) -> None:
        """Wait until no life of the upstream can hold these keys any more.

        One that did not answer holds them until its grants have run out, and a grant
        without an answer may be taken in late. Keys that have been granted with a
        higher token since then have gone to another shard of this node.
        """
        loop = asyncio.get_running_loop()
        while True:
            life = self._life
            stands_s = [
                known.latest_expiry_s
                for part in parts
                for known in self._holdings.list_ranges(part.first, part.last)
                if known.token <= part.token
            ]
            left_s = max(stands_s, default=0.0) - loop.time()
            if left_s <= 0:
                return
            with contextlib.suppress(TimeoutError):
                async with asyncio.timeout(left_s):
                    await life.ended.wait()

    async def _call_grant(
        self, life: _Life, key_range: KeyRange, end_s: float
    ) -> Response | None:
        """Grant until ``end_s``, whatever time passes before the grant is sent.

        The upstream counts from the arrival: only what is left when a connection is at
        hand may be named. A token may have become too low while it waited.
        """

        def describe() -> Mapping[str, object] | None:
            now = asyncio.get_running_loop().time()
            first, last, token = key_range.first, key_range.last, key_range.token
            known = self._holdings.list_ranges(first, last)
            hold_s = (end_s - now) * (1 - CLOCK_RATE_BOUND)
            may_take = all(part.accepts_token(token, now) for part in known)
            if life.ended.is_set() or hold_s < LEAST_HOLD_S or not may_take:
                return None
            self._holdings.note_sent(first, last, token, end_s)
            return describe_range(key_range, hold_s)

        answer_s = FIRST_ANSWER_S
        answer: Response | None = NOT_SENT
        while True:
            async with self._grant_slots:
                last_answer = answer
                answer = await self._call(life, b"/grant", describe, end_s, answer_s)
            if answer is not None:
                return last_answer if answer is NOT_SENT else answer
            self._note_unanswered(life, key_range, end_s)
            answer_s *= 2

    def _note_unanswered(self, life: _Life, key_range: KeyRange, end_s: float) -> None:
        """Note that a grant may be taken in as late as its end."""
        if not life.ended.is_set():
            late_s = end_s + ARRIVAL_S
            self._holdings.note_unanswered(key_range.first, key_range.last, late_s)

    async def _call_release(self, life: _Life, key_range: KeyRange) -> Response | None:
        end_s = asyncio.get_running_loop().time() + RELEASE_TIMEOUT_S
        async with self._release_slots:
            return await self._call(
                life,
                b"/release",
                lambda: describe_range(key_range),
                end_s,
                RELEASE_TIMEOUT_S,
            )

    async def _call(
        self,
        life: _Life,
        target: bytes,
        describe: Callable[[], Mapping[str, object] | None],
        deadline_s: float,
        answer_s: float,
    ) -> Response | None:
        """Return the upstream's answer, ``None`` if it may or may not have acted.

        Args:
            life: The life of the upstream that is meant.
            target: The path to call.
            describe: Returns the document once a connection is at hand, ``None`` if
                nothing may be sent any more.
            deadline_s: Event loop time by which the answer must be here.
            answer_s: Longest time to wait for it once the call is sent.
        """
        pool = life.pool
        if pool is None:
            return NOT_SENT
        reserved = await pool.reserve(deadline_s=deadline_s)
        if not is_successful(reserved):
            return NOT_SENT
        connection = reserved.unwrap()
        document = describe()
        if document is None:
            pool.return_connection(connection)
            return NOT_SENT
        data = json.dumps(document).encode()
        request = build_json_request(pool.address, b"POST", target, data)
        sent_s = asyncio.get_running_loop().time()
        result = await connection.exchange(
            request, deadline_s=min(deadline_s, sent_s + answer_s)
        )
        if not is_successful(result):
            return None
        settled = await buffer_response(result.unwrap())
        return settled.unwrap() if is_successful(settled) else None


def _note_failures(
    failed: list[tuple[KeyRange, Response | None]], left_s: float
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


def _refuse(detail: str) -> Failure[Refusal]:
    return Failure(Refusal(kind=ErrorKind.GRANT_REFUSED, detail=detail))
