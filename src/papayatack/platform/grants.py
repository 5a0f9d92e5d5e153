"""Grants of contiguous key ranges to the local upstream.

Implements :class:`papayatack.control.interface.GrantSink`. The upstream measures a
grant's duration from its arrival, and may process a grant seconds after the call timed
out. A key therefore counts as held until the latest possible expiry of all its grants.
"""

import asyncio
import contextlib
import dataclasses
from collections.abc import Callable, Collection, Iterable, Mapping

from returns.result import Failure, Result, Success

from papayatack.core.errors import ErrorKind, Refusal
from papayatack.core.identity import LeaseId, ShardId
from papayatack.core.ownership.grant_history import GrantHistory
from papayatack.core.shards import is_hot_shard, parse_slice
from papayatack.network.exchanges import Response
from papayatack.network.upstreams import UpstreamPool
from papayatack.platform.grant_lines import (
    SentGrant,
    log_failures,
    log_forgotten,
    log_late_answer,
)
from papayatack.platform.ranges import (
    KeyRange,
    build_range_document,
    exclude_hot_slices,
    join_handovers,
    list_overlapping,
    merge_ranges,
    split_handovers,
)
from papayatack.platform.upstream_calls import NOT_SENT, call_upstream
from papayatack.platform.upstream_process import (
    GrantConnections,
    GrantedShard,
    UpstreamProcess,
)

__all__ = ["MAX_DELIVERY_S", "RangeGrantClient"]

MAX_CLOCK_RATE_ERROR = 0.02
MAX_DELIVERY_S = 0.3
"""Maximum time that a grant takes to reach the upstream on the same machine."""

MIN_HOLD_S = 0.02
"""Minimum duration of a grant; a shorter one would expire before its first request."""

FIRST_RESPONSE_TIMEOUT_S = 0.3
"""Response time-out of the first attempt of a grant, doubled for each further attempt.
Repeating the call is safe: it renews the grant."""

RELEASE_TIMEOUT_S = 2.0
MAX_CONCURRENT_GRANTS = 8
"""Maximum number of concurrent grant calls. Each uses one of the connections that the
upstream accepts."""

MAX_CONCURRENT_RELEASES = 24
"""Maximum number of concurrent release calls. Each lasts as long as the requests that
run under the released grant."""

LATE_ANSWER_S = 0.1
"""Time from sending a grant to its answer from which it is logged as late."""

PROMPT_ANSWER_S = 0.02
"""Time from sending a grant to its answer that leases allow for."""

RENEWAL_MARGIN_S = 0.3
OK = 200


class RangeGrantClient:
    """Grants the local upstream the keys that it may serve.

    :class:`GrantHistory` records by key what the upstream may hold, whichever shard or
    lease a grant was sent for. The history decides which grants may be sent and when a
    release is complete.

    Args:
        list_hot: Returns the ids of the hot shards. A hot shard is a small range of
            consecutive keys, a hot slice, that was split from its parent shard.
        build_connections: Returns the connections of a pool on which grants are sent.
    """

    def __init__(
        self,
        *,
        list_hot: Callable[[], Collection[ShardId]],
        build_connections: Callable[[UpstreamPool], GrantConnections],
    ) -> None:
        self._list_hot = list_hot
        self._build_connections = build_connections
        self._history = GrantHistory()
        self._process = UpstreamProcess()
        self._grant_slots = asyncio.Semaphore(MAX_CONCURRENT_GRANTS)
        self._release_slots = asyncio.Semaphore(MAX_CONCURRENT_RELEASES)

    @property
    def pool(self) -> UpstreamPool | None:
        """Connections to the upstream process, ``None`` while there is none."""
        return self._process.pool

    @pool.setter
    def pool(self, pool: UpstreamPool | None) -> None:
        process = self._process
        process.disconnect()
        process.pool = pool
        if pool is not None:
            process.name = pool.name
            process.connections = self._build_connections(pool)

    def forget(self, *, is_certain: bool = True) -> None:
        """Abandon the calls to the current upstream process; expect a new one.

        The new process starts without grants.

        Args:
            is_certain: Whether the old process is known to have ended, so that none of
                its grants are held any longer. If not, or if its connections do not
                prove that, they count as held until they expire.
        """
        process = self._process
        process.disconnect()
        is_certain = is_certain and process.is_end_proved
        if process.sent_s is not None:
            log_forgotten(
                process.name,
                is_certain=is_certain,
                sent_s=process.sent_s,
                until_s=self._history.latest_expiry_s,
            )
        self._history.record_restart(is_certain=is_certain, delivery_s=MAX_DELIVERY_S)
        process.ended.set()
        self._process = UpstreamProcess()

    def restart(self) -> None:
        """Renew no grant sent so far: the upstream may have restarted in its place.

        Only the process at the address can hold its keys, so that grants with higher
        tokens need not wait.
        """
        pool = self._process.pool
        self._history.record_interruption(delivery_s=MAX_DELIVERY_S)
        self._process.disconnect()
        self._process.ended.set()
        self._process = UpstreamProcess()
        self.pool = pool

    async def grant(
        self,
        lease: LeaseId,
        tokens: Mapping[ShardId, int],
        until_s: float,
        handovers: Mapping[ShardId, str] | None = None,
    ) -> Result[None, Refusal]:
        """Grant shards with their fencing tokens, before their first requests."""
        process = self._process
        if process.pool is None:
            return _refuse("no upstream runs here")
        process.releasing.difference_update(tokens)
        process.requested_tokens.update(tokens)
        unconfirmed = {
            shard: token
            for shard, token in tokens.items()
            if not self._is_granted(lease, shard, token)
        }
        return await self._send_grants(lease, unconfirmed, until_s, handovers or {})

    def _is_granted(self, lease: LeaseId, shard: ShardId, token: int) -> bool:
        """Return whether a shard's grant is confirmed and not about to expire."""
        granted = self._process.granted.get(shard)
        if granted is None or (granted.lease, granted.token) != (lease, token):
            return False
        return granted.until_s > asyncio.get_running_loop().time() + RENEWAL_MARGIN_S

    async def extend(self, lease: LeaseId, until_s: float) -> Result[None, Refusal]:
        """Extend all grants of a lease except those of hot slices that were merged."""
        hot = set(self._list_hot())
        tokens = {
            shard: granted.token
            for shard, granted in self._process.granted.items()
            if granted.lease == lease and (not is_hot_shard(shard) or shard in hot)
        }
        if self.pool is None or not tokens:
            return Success(None)
        return await self._send_grants(lease, tokens, until_s, {})

    async def revoke(
        self, lease: LeaseId, shards: tuple[ShardId, ...]
    ) -> Result[Mapping[ShardId, str], Refusal]:
        """End the grants of shards and return the upstream's handovers by shard.

        The next owner passes a handover to its upstream, which then starts warm.

        Waits for grant calls in flight first: a grant that arrives after the release
        would remain in force. This includes the grants of overlapping shards, such as a
        slice from which a hot slice has been split in the meantime.
        """
        process = self._process
        wanted = frozenset(shards)
        process.releasing |= wanted
        for shard in shards:
            process.granted.pop(shard, None)
        pending = [
            call
            for call, known in process.calls.items()
            if any(list_overlapping(shard, known) for shard in wanted)
        ]
        if pending:
            await asyncio.wait(pending)
        parts = {shard: self._list_possible_grants(process, shard) for shard in shards}
        responses = await asyncio.gather(
            *(self._release(process, parts[shard]) for shard in shards)
        )
        await self._wait_until_expired(
            [part for found in parts.values() for part in found]
        )
        process.releasing -= wanted
        for shard in shards:
            process.requested_tokens.pop(shard, None)
        handovers = dict(zip(shards, responses, strict=True))
        return Success({shard: text for shard, text in handovers.items() if text})

    def _list_possible_grants(
        self, process: UpstreamProcess, shard: ShardId
    ) -> list[KeyRange]:
        """Return the ranges of a shard that the upstream may hold.

        Excludes the keys of a merged hot slice that are granted with its parent again.
        """
        now = asyncio.get_running_loop().time()
        newest_token = process.requested_tokens.get(shard)
        is_merged = is_hot_shard(shard) and shard not in self._list_hot()
        found = []
        for first, last in exclude_hot_slices(shard, self._list_hot_slices()):
            known = list(self._history.list_ranges(first, last))
            token = max(part.token for part in known)
            if is_merged and newest_token is not None and token > newest_token:
                continue
            if max(part.latest_expiry_s for part in known) + MAX_DELIVERY_S > now:
                found.append(KeyRange(first=first, last=last, token=token))
        return found

    async def _send_grants(
        self,
        lease: LeaseId,
        tokens: Mapping[ShardId, int],
        end_s: float,
        handovers: Mapping[ShardId, str],
    ) -> Result[None, Refusal]:
        process = self._process
        call = asyncio.ensure_future(
            self._grant_ranges(process, lease, tokens, end_s, handovers)
        )
        process.calls[call] = frozenset(tokens)
        call.add_done_callback(process.calls.pop)
        done = await asyncio.shield(call)
        return Success(None) if done else _refuse("a grant was not confirmed")

    async def _grant_ranges(
        self,
        process: UpstreamProcess,
        lease: LeaseId,
        tokens: Mapping[ShardId, int],
        end_s: float,
        handovers: Mapping[ShardId, str],
    ) -> bool:
        """Send grants and record which ones the upstream has confirmed."""
        ranges, withheld = self._select_ranges(tokens, handovers)
        responses = await asyncio.gather(
            *(self._call_grant(process, key_range, end_s) for key_range in ranges)
        )
        if process.ended.is_set():
            return False
        failed = [
            (part, response)
            for part, response in zip(ranges, responses, strict=True)
            if response is None or response.status != OK
        ]
        failed.extend((part, NOT_SENT) for part in withheld)
        if failed:
            log_failures(failed, remaining_s=end_s - asyncio.get_running_loop().time())
        for shard, token in tokens.items():
            _, first, last = parse_slice(shard)
            missing = any(
                part.first <= last and first <= part.last for part, _ in failed
            )
            known = process.granted.get(shard)
            newer = known is None or known.token <= token
            if not missing and newer and shard not in process.releasing:
                process.granted[shard] = GrantedShard(
                    lease=lease, token=token, until_s=end_s
                )
        return not failed

    def _select_ranges(
        self, tokens: Mapping[ShardId, int], handovers: Mapping[ShardId, str]
    ) -> tuple[list[KeyRange], list[KeyRange]]:
        """Return the fewest ranges that cover exactly these shards.

        The second list has the ranges that must not be sent: their keys were granted
        with a higher token, or an earlier upstream process may still hold them.
        """
        now = asyncio.get_running_loop().time()
        ranges: list[KeyRange] = []
        withheld: list[KeyRange] = []
        for part in sorted(self._list_shard_ranges(tokens, handovers)):
            known = list(self._history.list_ranges(part.first, part.last))
            if all(known_range.accepts_token(part.token, now) for known_range in known):
                ranges.append(part)
                continue
            for known_range in known:
                piece = dataclasses.replace(
                    part, first=known_range.first, last=known_range.last, handover=""
                )
                is_accepted = known_range.accepts_token(part.token, now)
                (ranges if is_accepted else withheld).append(piece)
        return merge_ranges(ranges), withheld

    def _list_shard_ranges(
        self, tokens: Mapping[ShardId, int], handovers: Mapping[ShardId, str]
    ) -> Iterable[KeyRange]:
        """Yield the ranges of each shard with their handovers."""
        hot = self._list_hot_slices()
        for shard, token in tokens.items():
            known = split_handovers(handovers.get(shard, ""))
            for first, last in exclude_hot_slices(shard, hot):
                yield KeyRange(
                    first=first,
                    last=last,
                    token=token,
                    handover=known.get(f"{first}-{last}", ""),
                )

    def _list_hot_slices(self) -> list[tuple[str, int, int]]:
        """Return the hot slices that are separate shards, sorted by key."""
        return sorted(map(parse_slice, self._list_hot()))

    async def _release(self, process: UpstreamProcess, parts: list[KeyRange]) -> str:
        """Release ranges; return the upstream's handover, empty if there is none."""
        responses = await asyncio.gather(
            *(self._call_release(process, part) for part in parts)
        )
        if process.ended.is_set():
            return ""
        for part, response in zip(parts, responses, strict=True):
            if response is not None and response.status == OK:
                self._history.note_released(part.first, part.last, part.token)
        if all(
            response is not None and response.status == OK for response in responses
        ):
            return join_handovers(parts, responses)
        return ""

    async def _wait_until_expired(self, parts: list[KeyRange]) -> None:
        """Wait until no upstream process can hold these keys any more.

        A process that did not confirm the release holds the keys until its grants have
        expired, and it may process an unacknowledged grant late. Keys granted with a
        higher token since then belong to another shard of this node.
        """
        loop = asyncio.get_running_loop()
        while True:
            process = self._process
            expiries_s = [
                known.latest_expiry_s
                for part in parts
                for known in self._history.list_ranges(part.first, part.last)
                if known.token <= part.token
            ]
            remaining_s = max(expiries_s, default=0.0) - loop.time()
            if remaining_s <= 0:
                return
            with contextlib.suppress(TimeoutError):
                async with asyncio.timeout(remaining_s):
                    await process.ended.wait()

    async def _call_grant(
        self, process: UpstreamProcess, key_range: KeyRange, end_s: float
    ) -> Response | None:
        """Grant a range until ``end_s``, however long the call waits to be sent.

        The upstream measures the duration from the arrival, so the duration is computed
        once a connection is available. The token is checked again at that time, as the
        keys may have got a higher one in the meantime.
        """
        sent: list[SentGrant] = []

        def build_document() -> Mapping[str, object] | None:
            now = asyncio.get_running_loop().time()
            first, last, token = key_range.first, key_range.last, key_range.token
            known = self._history.list_ranges(first, last)
            hold_s = (end_s - now) * (1 - MAX_CLOCK_RATE_ERROR)
            is_accepted = all(part.accepts_token(token, now) for part in known)
            if process.ended.is_set() or hold_s < MIN_HOLD_S or not is_accepted:
                return None
            self._history.note_sent(first, last, token, end_s)
            process.sent_s = now
            sent.append(SentGrant(sent_s=now, hold_s=hold_s))
            return build_range_document(key_range, hold_s)

        response_timeout_s = FIRST_RESPONSE_TIMEOUT_S
        response: Response | None = NOT_SENT
        while True:
            async with self._grant_slots:
                previous = response
                response = await call_upstream(
                    process.connections,
                    b"/grant",
                    build_document,
                    end_s,
                    response_timeout_s,
                )
            if response is not None:
                self._record_answered(process, key_range, sent, end_s)
                return previous if response is NOT_SENT else response
            self._record_unanswered(process, key_range, end_s)
            response_timeout_s *= 2

    def _record_unanswered(
        self, process: UpstreamProcess, key_range: KeyRange, end_s: float
    ) -> None:
        """Record that the upstream may process a grant as late as its expiry."""
        if not process.ended.is_set():
            late_s = end_s + MAX_DELIVERY_S
            self._history.note_unanswered(key_range.first, key_range.last, late_s)

    def _record_answered(
        self,
        process: UpstreamProcess,
        key_range: KeyRange,
        sent: list[SentGrant],
        end_s: float,
    ) -> None:
        """Record until when the upstream may hold a grant that it answered late.

        The grant's time counts from its arrival, of which only the answer gives a
        bound. Earlier calls without an answer may arrive as late as the last one.
        """
        if not sent or process.ended.is_set():
            return
        now = asyncio.get_running_loop().time()
        last = sent[-1]
        if now - last.sent_s < PROMPT_ANSWER_S and len(sent) == 1:
            return
        until_s = now + last.hold_s / (1 - MAX_CLOCK_RATE_ERROR)
        keys = key_range.first, key_range.last
        self._history.note_sent(*keys, key_range.token, until_s)
        if len(sent) > 1:
            self._history.note_unanswered(*keys, until_s)
        if now - sent[0].sent_s >= LATE_ANSWER_S:
            log_late_answer(key_range, sent, end_s=end_s, until_s=until_s)

    async def _call_release(
        self, process: UpstreamProcess, key_range: KeyRange
    ) -> Response | None:
        """Release a range, unless the process has ended before that is sent."""

        def build_document() -> Mapping[str, object] | None:
            if process.ended.is_set():
                return None
            return build_range_document(key_range)

        end_s = asyncio.get_running_loop().time() + RELEASE_TIMEOUT_S
        async with self._release_slots:
            return await call_upstream(
                process.pool,
                b"/release",
                build_document,
                end_s,
                RELEASE_TIMEOUT_S,
            )


def _refuse(detail: str) -> Failure[Refusal]:
    return Failure(Refusal(kind=ErrorKind.GRANT_REFUSED, detail=detail))
