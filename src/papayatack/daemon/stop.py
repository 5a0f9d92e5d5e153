"""The end of a node: callers leave, work ends, shards and outcomes are handed on.

All stages lie within one plan, so that the process is gone in time whatever is left::

    stop = PlannedStop(plan=plan, control=control, gate=gate, ...)
    handed_on = await stop.run(departs=True)
"""

import asyncio
import contextlib
import logging

from papayatack.control.node import ControlNode
from papayatack.core.admission import AdmissionController
from papayatack.core.shutdown import ShutdownPlan
from papayatack.network.callers import CallerServer
from papayatack.network.peers import PeerNetwork
from papayatack.observability.events import Event, log_event
from papayatack.proxy.engine import RequestEngine
from papayatack.proxy.gate import AdmissionGate

__all__ = ["PlannedStop"]

LOGGER = logging.getLogger(__name__)

HANDOVER_CHECK_S = 0.02
HANDOVER_PATIENCE_S = 2.0


class PlannedStop:
    """Takes a node through the stages of its stop.

    Args:
        plan: The stop's times.
        control: Hands the shards on.
        gate: Lets requests begin at the own upstream.
        admission: Its state.
        engine: Runs the requests of callers and of other nodes.
        callers: The server of callers.
        peers: The connections to other nodes.
    """

    def __init__(
        self,
        *,
        plan: ShutdownPlan,
        control: ControlNode,
        gate: AdmissionGate,
        admission: AdmissionController,
        engine: RequestEngine,
        callers: CallerServer,
        peers: PeerNetwork,
    ) -> None:
        self._plan = plan
        self._control = control
        self._gate = gate
        self._admission = admission
        self._engine = engine
        self._callers = callers
        self._peers = peers
        self._loop = asyncio.get_running_loop()

    async def run(self, *, departs: bool) -> bool:
        """Stop; tell whether the shards were handed on in time.

        Args:
            departs: The node hands its shards on first. Otherwise it has none left to
                hand on, or cannot.
        """
        plan = self._plan
        self._engine.begin_shutdown(plan)
        self._note("begun")
        if departs:
            self._control.start_departure()
            await asyncio.sleep(plan.notice_end_s - self._loop.time())
            await self._wait_departed(plan.accept_until_s)
        last_start = self._loop.call_at(plan.dispatch_until_s, self._close_gate)
        self._note("closing")
        await self._callers.stop(timeout_s=plan.close_at_s - self._loop.time())
        departed = not departs or await self._wait_departed(plan.drain_end_s)
        if self._loop.time() < plan.dispatch_until_s:
            last_start.cancel()
            self._close_gate()
        await self._peers.finish_requests(until_s=plan.close_at_s)
        await self._wait_handed_over()
        self._note("closed")
        return departed

    def _close_gate(self) -> None:
        """Let nothing begin at the own upstream any more."""
        self._note("last-start")
        self._gate.close()

    async def _wait_departed(self, until_s: float) -> bool:
        """Wait until the shards are handed on; tell whether they are."""
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout_at(until_s):
                await self._control.wait_finished()
                return True
        return False

    async def _wait_handed_over(self) -> None:
        """Stay until the outcomes of keyed requests are asked for, but not for long."""
        until_s = min(self._loop.time() + HANDOVER_PATIENCE_S, self._plan.close_at_s)
        while self._loop.time() < until_s:
            if not self._control.outcomes.has_pending_exports(self._loop.time()):
                return
            await asyncio.sleep(HANDOVER_CHECK_S)

    def _note(self, stage: str) -> None:
        callers, peers = self._engine.in_flight
        log_event(
            LOGGER,
            Event.STOP_STAGE,
            stage=stage,
            callers=callers,
            peers=peers,
            owner=self._engine.waiting,
            queued=self._admission.queued,
            in_use=self._admission.in_use,
        )
