"""The tasks that send grants and revocations to the local upstream."""

import asyncio
import functools
import logging
from collections.abc import Callable, Mapping

from returns.pipeline import is_successful
from returns.result import Success

from papayatack.control.interface import GrantSink
from papayatack.core.identity import ShardId
from papayatack.core.ownership.effects import ExtendLease, GrantShards, RevokeShards
from papayatack.observability.events import Event, log_event

__all__ = ["GrantEffect", "GrantTask"]

LOGGER = logging.getLogger(__name__)

MS_PER_S = 1000
LATE_S = 0.1
"""Time from the decision on a grant to its call from which it is logged as late."""

CALL_TIMEOUT_S = 0.5
"""Timeout of a grant or an extension."""

REVOKE_TIMEOUT_S = 2.5
"""Timeout of a revocation, which waits for the running requests of its shards."""

RETRY_S = 0.2
"""Delay before a failure is reported, and so before the core tries again."""

TRANSIT_MARGIN_S = 0.02
"""Time allowed for a grant to reach the upstream, which counts from its arrival."""

GrantEffect = GrantShards | ExtendLease | RevokeShards

Confirm = Callable[[GrantEffect, bool, Mapping[ShardId, str]], None]


class GrantTask:
    """Executes grant effects and reports the results.

    Grants and revocations of the same shard are sent in order, those of different
    shards concurrently: a revocation waits for the running requests of its shards and
    must not delay other calls. Of the queued extensions of a lease, only the newest is
    sent.

    A grant ends at a point in time, which its lease has set. The sink turns it into a
    duration when it sends the call, so that no wait before that prolongs the grant.

    Args:
        sink: Sends the calls to the local upstream.
        confirm: Called with each grant or revocation, whether the upstream accepted
            it, and the handover data that the upstream returned.
    """

    def __init__(self, *, sink: GrantSink, confirm: Confirm) -> None:
        self._sink = sink
        self._confirm = confirm
        self._queue: asyncio.Queue[tuple[float, GrantEffect]] = asyncio.Queue()
        self._in_progress: dict[asyncio.Task[None], frozenset[ShardId]] = {}
        self._extensions: dict[str, tuple[float, ExtendLease]] = {}
        self._extension_queued = asyncio.Event()

    def put(self, effect: GrantEffect) -> None:
        """Queue an effect without blocking."""
        queued = (asyncio.get_running_loop().time(), effect)
        if isinstance(effect, ExtendLease):
            self._extensions[str(effect.lease)] = queued
            self._extension_queued.set()
        else:
            self._queue.put_nowait(queued)

    async def run(self) -> None:
        """Execute effects until cancelled."""
        async with asyncio.TaskGroup() as tasks:
            tasks.create_task(self._run_queue(tasks))
            tasks.create_task(self._run_extensions())

    async def _run_queue(self, tasks: asyncio.TaskGroup) -> None:
        while True:
            queued_s, effect = await self._queue.get()
            shards = _list_shards(effect)
            predecessors = [
                task
                for task, busy_shards in self._in_progress.items()
                if busy_shards & shards
            ]
            task = tasks.create_task(
                self._execute_in_order(queued_s, effect, predecessors)
            )
            self._in_progress[task] = shards
            task.add_done_callback(self._in_progress.pop)

    async def _execute_in_order(
        self,
        queued_s: float,
        effect: GrantEffect,
        predecessors: list[asyncio.Task[None]],
    ) -> None:
        """Execute an effect after its predecessors, and report the result.

        A failure is reported after ``RETRY_S``.
        """
        if predecessors:
            await asyncio.wait(predecessors)
        waited_s = asyncio.get_running_loop().time() - queued_s
        done, handovers = await self._call_with_timeout(effect, waited_s)
        if not done:
            await asyncio.sleep(RETRY_S)
        self._confirm(effect, done, handovers)

    async def _run_extensions(self) -> None:
        while True:
            await self._extension_queued.wait()
            self._extension_queued.clear()
            while self._extensions:
                queued_s, effect = self._extensions.pop(next(iter(self._extensions)))
                waited_s = asyncio.get_running_loop().time() - queued_s
                await self._call_with_timeout(effect, waited_s)

    async def _call_with_timeout(
        self, effect: GrantEffect, waited_s: float
    ) -> tuple[bool, Mapping[ShardId, str]]:
        is_revocation = isinstance(effect, RevokeShards)
        timeout_s = REVOKE_TIMEOUT_S if is_revocation else CALL_TIMEOUT_S
        try:
            async with asyncio.timeout(timeout_s):
                return await self._call_upstream(effect, waited_s)
        except TimeoutError:
            return False, {}

    @functools.singledispatchmethod
    async def _call_upstream(
        self, effect: GrantEffect, waited_s: float
    ) -> tuple[bool, Mapping[ShardId, str]]:
        raise TypeError(effect)

    @_call_upstream.register
    async def _(
        self, effect: GrantShards, waited_s: float
    ) -> tuple[bool, Mapping[ShardId, str]]:
        _log_lateness(effect, waited_s)
        until_s = effect.until_s - TRANSIT_MARGIN_S
        if until_s <= asyncio.get_running_loop().time():
            return False, {}
        result = await self._sink.grant(
            effect.lease, effect.tokens, until_s, effect.handovers
        )
        return is_successful(result), {}

    @_call_upstream.register
    async def _(
        self, effect: ExtendLease, waited_s: float
    ) -> tuple[bool, Mapping[ShardId, str]]:
        _log_lateness(effect, waited_s)
        until_s = effect.until_s - TRANSIT_MARGIN_S
        if until_s > asyncio.get_running_loop().time():
            await self._sink.extend(effect.lease, until_s)
        return True, {}

    @_call_upstream.register
    async def _(
        self, effect: RevokeShards, waited_s: float
    ) -> tuple[bool, Mapping[ShardId, str]]:
        match await self._sink.revoke(effect.lease, effect.shards):
            case Success(handovers):
                return True, handovers
        return False, {}


@functools.singledispatch
def _list_shards(effect: GrantEffect) -> frozenset[ShardId]:
    raise TypeError(effect)


@_list_shards.register
def _(effect: GrantShards) -> frozenset[ShardId]:
    return frozenset(effect.tokens)


@_list_shards.register
def _(effect: RevokeShards) -> frozenset[ShardId]:
    return frozenset(effect.shards)


def _log_lateness(effect: GrantShards | ExtendLease, waited_s: float) -> None:
    """Log a grant or an extension that was decided long before its call."""
    now = asyncio.get_running_loop().time()
    decided_ago_s = now - effect.decided_s
    if decided_ago_s < LATE_S:
        return
    log_event(
        LOGGER,
        Event.GRANT_LATE,
        level=logging.WARNING,
        reason="decided",
        lease=str(effect.lease),
        decided_ms=int(decided_ago_s * MS_PER_S),
        queued_ms=int(waited_s * MS_PER_S),
        left_ms=int((effect.until_s - now) * MS_PER_S),
    )
