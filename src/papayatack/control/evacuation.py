"""Applies the orders to evacuate data centres on one node."""

import asyncio
import logging
import math
from collections.abc import Callable

from papayatack.control.provenance import US_PER_S, Provenance
from papayatack.core.errors import ErrorKind, Refusal
from papayatack.core.evacuation import Evacuations
from papayatack.core.ownership.departure import DepartureStage
from papayatack.core.ownership.effects import Effect
from papayatack.core.ownership.node import NodeCore
from papayatack.observability.events import Event, log_event, to_ms
from papayatack.observability.metrics import Metrics

__all__ = ["EvacuationControl"]

LOGGER = logging.getLogger(__name__)

MS_PER_S = 1000
US_PER_MS = US_PER_S // MS_PER_S
RETRY_AFTER_S = 0.1
"""Delay that a caller is advised to wait: other data centres serve the request."""

RETURN_AFTER_S = 1.0
"""The same while no data centre serves it."""

_ELSEWHERE = Refusal(
    kind=ErrorKind.DATA_CENTRE_EVACUATED,
    detail="the data centre of the upstream is evacuated",
    retry_after_s=RETRY_AFTER_S,
)
_NOWHERE = Refusal(
    kind=ErrorKind.SERVICE_EVACUATED,
    detail="all data centres with upstreams of the service are evacuated",
    retry_after_s=RETURN_AFTER_S,
)


class EvacuationControl:
    """Knows whether the local upstream may be used, and moves its shards away in time.

    Args:
        core: The ownership core of the node.
        data_centre: The node's data centre.
        bound_s: Time after the acknowledgement of an order from which no request may
            reach an upstream of the data centre.
        execute_effects: Executes effects of the core.
        check_suspension: Detects a suspension of the VM.
        metrics: Counts ``evacuation_refusals`` by kind.

    Attributes:
        evacuations: The evacuated data centres.
        on_end: Called with the refusal once nothing may be sent to the upstream.
        on_return: Called once the upstream may be used again.
    """

    def __init__(
        self,
        *,
        core: NodeCore,
        data_centre: str,
        bound_s: float,
        execute_effects: Callable[[list[Effect]], None],
        check_suspension: Callable[[], None],
        metrics: Metrics,
    ) -> None:
        self.evacuations = Evacuations(bound_s=bound_s)
        self.on_end: Callable[[Refusal], None] = lambda refusal: None
        self.on_return: Callable[[], None] = lambda: None
        self._core = core
        self._data_centre = data_centre
        self._execute_effects = execute_effects
        self._check_suspension = check_suspension
        self._metrics = metrics
        self._has_ended = False
        self._is_nowhere = False
        self._owned_count = 0
        self._moved_s = -math.inf

    @property
    def is_evacuated(self) -> bool:
        """Whether the node's own data centre is evacuated."""
        return self._data_centre in self.evacuations.data_centres

    def note_configuration(
        self, evacuated: frozenset[str], provenance: Provenance, current_s: float
    ) -> None:
        """Apply the set of a configuration that is now in force on this node.

        Args:
            evacuated: Names of the evacuated data centres.
            provenance: How the configuration reached this node.
            current_s: Time at which the one before it was the newest for certain.
        """
        now = asyncio.get_running_loop().time()
        begun, ended = self.evacuations.update(evacuated, current_s=current_s, now=now)
        self._core.context.evacuated = evacuated
        for name in begun:
            age_s = now - current_s
            _log_change(
                Event.DATA_CENTRE_EVACUATED,
                name,
                provenance,
                now,
                newest_before_ms=to_ms(age_s) if age_s < math.inf else None,
            )
        for name in ended:
            _log_change(Event.DATA_CENTRE_RETURNED, name, provenance, now)
        if begun or ended:
            self._metrics.set_gauge("evacuated_data_centres", len(evacuated))
        if self._data_centre in ended:
            self._has_ended = self._is_nowhere = False
            self.on_return()

    def expire(self) -> None:
        """Let all orders be at their end, after the VM was suspended."""
        self.evacuations.expire()

    def may_send(self, now: float) -> bool:
        """Return whether requests may be sent to the local upstream now."""
        return self.evacuations.may_send(self._data_centre, now)

    def find_obstacle(self) -> Refusal | None:
        """Return why nothing may be sent to the local upstream now, if so."""
        if not self.is_evacuated:
            return None
        self._check_suspension()
        now = asyncio.get_running_loop().time()
        if self.may_send(now):
            return None
        refusal = self._build_refusal()
        self._metrics.count("evacuation_refusals", refusal.kind.value)
        return refusal

    def advance(self, now: float) -> None:
        """Perform the steps that are due."""
        if not self.is_evacuated:
            return
        self._update_room()
        if not self._is_nowhere:
            self._move_shards(now)
        if not self._has_ended and not self.may_send(now):
            self._has_ended = True
            self.on_end(self._build_refusal())

    def _update_room(self) -> None:
        """Note whether any other data centre has nodes of the local service."""
        member = self._core.state.members.get(self._core.incarnation)
        service = member.service if member is not None else ""
        is_nowhere = bool(service) and not self._core.context.has_nodes_outside(service)
        if is_nowhere and not self._is_nowhere:
            log_event(
                LOGGER,
                Event.SERVICE_EVACUATED,
                level=logging.WARNING,
                service=service,
                data_centres=sorted(self.evacuations.data_centres),
            )
        self._is_nowhere = is_nowhere

    def _move_shards(self, now: float) -> None:
        """Move shards that the planner has left here, or stop serving them."""
        count = len(self._core.context.owned_shards.owned)
        if count < self._owned_count:
            self._moved_s = now
        self._owned_count = count
        if not count:
            return
        stage = self._core.departure.stage
        if self.evacuations.must_stop_serving(self._data_centre, now):
            if stage in (DepartureStage.SERVING, DepartureStage.MOVING):
                self._execute_effects(self._core.stop_serving(now))
        elif (
            self.evacuations.must_move_own(self._data_centre, self._moved_s, now)
            and stage is DepartureStage.SERVING
        ):
            self._execute_effects(self._core.evacuate_shards(now))

    def _build_refusal(self) -> Refusal:
        return _NOWHERE if self._is_nowhere else _ELSEWHERE


def _log_change(
    event: Event, name: str, provenance: Provenance, now: float, **fields: object
) -> None:
    log_event(
        LOGGER,
        event,
        level=logging.WARNING,
        data_centre=name,
        source=provenance.sender or "log",
        hops=provenance.hops,
        age_ms=provenance.find_age_us(now) // US_PER_MS,
        **fields,
    )
