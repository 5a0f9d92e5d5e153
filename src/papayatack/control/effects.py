"""Carries out the effects that the ownership core returns."""

import asyncio
import functools
import logging
from collections.abc import Callable, Mapping

from papayatack.control.grants import GrantEffect, GrantTask
from papayatack.control.interface import GrantSink
from papayatack.control.recent import RecentRecords
from papayatack.core.identity import IncarnationId, ShardId
from papayatack.core.messages import ControlMessage
from papayatack.core.ownership.effects import (
    AppendRecord,
    Effect,
    EmitEvent,
    ExtendLease,
    FinishNode,
    GrantShards,
    RevokeShards,
    SendMessage,
    SendRecords,
)
from papayatack.core.ownership.node import NodeCore
from papayatack.core.records import OwnershipRecord
from papayatack.observability.events import Event, log_event
from papayatack.observability.metrics import Metrics

__all__ = ["EffectExecutor"]

LOGGER = logging.getLogger(__name__)

MAX_SHARDS_LOGGED = 4
MS_PER_S = 1000


class EffectExecutor:
    """Carries out effects, and reports the upstream's responses to the core.

    Args:
        core: The ownership core of the node.
        sink: Sends grants to the local upstream.
        recent: Newest records of each stream, from which other nodes get those that
            they lack.
        send: Sends a control message to a node.
        append: Queues a record to be appended to the ownership stream.
        metrics: Counts the events of the core and the refused grants.

    Attributes:
        finished: Set when the node has finished, to whether it resigned.
    """

    def __init__(
        self,
        *,
        core: NodeCore,
        sink: GrantSink,
        recent: Mapping[str, RecentRecords],
        send: Callable[[IncarnationId, ControlMessage], None],
        append: Callable[[OwnershipRecord], None],
        metrics: Metrics,
    ) -> None:
        self._core = core
        self._recent = recent
        self._send = send
        self._append = append
        self._metrics = metrics
        self._grants = GrantTask(sink=sink, confirm=self._confirm)
        self.finished: asyncio.Future[bool] = asyncio.get_running_loop().create_future()

    async def run(self) -> None:
        """Send grants and revocations to the upstream until cancelled."""
        await self._grants.run()

    def execute(self, effects: list[Effect]) -> None:
        """Carry out effects in order, without waiting for the upstream."""
        for effect in effects:
            self._execute(effect)

    @functools.singledispatchmethod
    def _execute(self, effect: Effect) -> None:
        raise TypeError(effect)

    @_execute.register
    def _(self, effect: SendMessage) -> None:
        self._send(effect.recipient, effect.message)

    @_execute.register
    def _(self, effect: SendRecords) -> None:
        recent = self._recent.get(effect.stream)
        now = asyncio.get_running_loop().time()
        batch = recent.make_batch(effect.offset, now) if recent is not None else None
        if batch is not None:
            self._send(effect.recipient, batch)

    @_execute.register
    def _(self, effect: AppendRecord) -> None:
        self._append(effect.record)

    @_execute.register(GrantShards)
    @_execute.register(ExtendLease)
    @_execute.register(RevokeShards)
    def _(self, effect: GrantEffect) -> None:
        self._grants.put(effect)

    @_execute.register
    def _(self, effect: EmitEvent) -> None:
        self._metrics.count(effect.name.lower(), effect.reason)
        log_event(
            LOGGER,
            Event[effect.name],
            reason=effect.reason,
            subject=effect.subject,
            **effect.fields,
        )

    @_execute.register
    def _(self, effect: FinishNode) -> None:
        if not self.finished.done():
            self.finished.set_result(effect.resigned)

    def _confirm(
        self, effect: GrantEffect, done: bool, handovers: Mapping[ShardId, str]
    ) -> None:
        self._confirm_effect(effect, done, handovers)

    @functools.singledispatchmethod
    def _confirm_effect(
        self, effect: GrantEffect, done: bool, handovers: Mapping[ShardId, str]
    ) -> None:
        """Report the upstream's response to the core."""

    @_confirm_effect.register
    def _(
        self, effect: GrantShards, done: bool, handovers: Mapping[ShardId, str]
    ) -> None:
        now = asyncio.get_running_loop().time()
        if done:
            _log_granted(effect, self._describe_decision(effect, now))
        else:
            self._metrics.count("grants_refused")
            _log_refused(effect, self._describe_decision(effect, now))
        self.execute(
            self._core.confirm_grant(
                effect.lease, dict(effect.tokens), done=done, now=now
            )
        )

    def _describe_decision(self, effect: GrantShards, now: float) -> dict[str, int]:
        """Return how long ago a grant was decided, and the configuration now."""
        return {
            "decided_ms": int((now - effect.decided_s) * MS_PER_S),
            "left_ms": int((effect.until_s - now) * MS_PER_S),
            "config_offset": self._core.config_watch.offset,
        }

    @_confirm_effect.register
    def _(
        self, effect: RevokeShards, done: bool, handovers: Mapping[ShardId, str]
    ) -> None:
        log_event(
            LOGGER,
            Event.SHARDS_REVOKED,
            number=effect.revocation_id,
            lease=str(effect.lease),
            shards=list(effect.shards)[:MAX_SHARDS_LOGGED],
            count=len(effect.shards),
            done=done,
            config_offset=self._core.config_watch.offset,
        )
        effects = self._core.confirm_revoke(
            effect.revocation_id,
            effect.shards,
            done=done,
            now=asyncio.get_running_loop().time(),
            handovers=handovers,
        )
        self.execute(effects)


def _log_granted(effect: GrantShards, decision: Mapping[str, int]) -> None:
    log_event(
        LOGGER,
        Event.GRANTS_CONFIRMED,
        lease=str(effect.lease),
        shards=list(effect.tokens)[:MAX_SHARDS_LOGGED],
        tokens=list(effect.tokens.values())[:MAX_SHARDS_LOGGED],
        count=len(effect.tokens),
        **decision,
    )


def _log_refused(effect: GrantShards, decision: Mapping[str, int]) -> None:
    log_event(
        LOGGER,
        Event.GRANT_REFUSED,
        level=logging.WARNING,
        lease=str(effect.lease),
        shards=list(effect.tokens)[:MAX_SHARDS_LOGGED],
        count=len(effect.tokens),
        **decision,
    )
