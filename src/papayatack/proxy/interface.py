"""Interfaces between request processing, ownership and admission.

Request processing asks :class:`Ownership` where a key is served, and :class:`Gate` for
a slot. Immediately before it forwards a request to the upstream, it asks
:class:`Ownership` for a :class:`Grant`.
"""

import dataclasses
from collections.abc import Callable, Iterable
from typing import Protocol

from returns.result import Result

from papayatack.core.errors import Refusal
from papayatack.core.idempotency import KeyTenure
from papayatack.core.identity import IncarnationId, PeerAddress, ShardId
from papayatack.core.inventory import Configuration, RequestClass
from papayatack.core.node_load import NodeLoad
from papayatack.core.ownership.suspicions import Standing, Suspect
from papayatack.core.quarantine import Fingerprints, Verdict, VerdictKind
from papayatack.core.reported_load import ReportedLoad

__all__ = [
    "Gate",
    "Grant",
    "Ownership",
    "NoQuarantine",
    "Permit",
    "Quarantine",
    "RetryPolicy",
    "Route",
    "AdmissionRequest",
]


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Route:
    """The node that serves a shard, according to this node's information.

    Attributes:
        shard: The shard.
        local: Whether this node serves it.
        incarnation: The serving node.
        address: Where that node listens for peers.
        in_local_data_centre: Whether it runs in this node's data centre.
    """

    shard: ShardId
    local: bool
    incarnation: IncarnationId
    address: PeerAddress
    in_local_data_centre: bool = True


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Grant:
    """Permission to forward one request to the local upstream.

    Attributes:
        shard: The shard.
        token: Fencing token, which never decreases for a shard.
        remaining_s: Seconds for which the permission is still valid.
        generation: Distinguishes requests that began before keys were moved from or to
            another shard from those that began afterwards.
    """

    shard: ShardId
    token: int
    remaining_s: float
    generation: int = 0


class Ownership(Protocol):
    """The ownership of keys, as known to this node."""

    @property
    def configuration(self) -> Configuration:
        """The configuration in force on this node."""

    def locate(self, service: str, key: str) -> Result[Route, Refusal]:
        """Return the route to the node that serves a key, or why there is none."""

    def list_nodes(self, service: str) -> tuple[Route, ...]:
        """Return the nodes of a service without keys, nearest first."""

    def find_obstacle(self, shard: ShardId) -> Refusal | None:
        """Return why no request for a shard may be forwarded to the upstream now."""

    def authorize(self, shard: ShardId) -> Result[Grant, Refusal]:
        """Return the grant under which a request may be forwarded now.

        Every success must be paired with one call of :meth:`finish`.
        """

    def finish(self, grant: Grant, *, service_time_s: float | None) -> None:
        """Report that an authorized request has ended.

        Args:
            grant: The grant that :meth:`authorize` returned.
            service_time_s: Service time of the upstream; ``None`` if the time does not
                predict that of later requests.
        """

    def renew_grant(self, grant: Grant) -> None:
        """Send a grant to the upstream again, since the upstream does not know it."""

    def find_tenure(self, service: str, key: str) -> KeyTenure | None:
        """Return the tenures of a key; ``None`` if this node does not own it."""


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class AdmissionRequest:
    """A request for a slot.

    Attributes:
        partner: The partner's name; empty if unknown.
        request_class: The class in which the request is queued.
        cost: Work relative to a browse request.
        deadline_s: Event loop time after which the response is of no use.
        repeatable: Whether the request may run more than once.
        target_s: Event loop time by which the response is worth most, if there is one.
        rank: Its precedence; 0 is the highest.
    """

    partner: str
    request_class: RequestClass
    cost: float
    deadline_s: float
    repeatable: bool = False
    target_s: float | None = None
    rank: int = 0


class Permit(Protocol):
    """A slot in use."""

    def record_sent(self) -> None:
        """Record that the request is sent to the upstream now."""

    def release(self, *, service_time_s: float, error: str | None = None) -> None:
        """Release the slot and report the service time and error of the request."""


class Gate(Protocol):
    """Admission of requests to the local upstream."""

    async def acquire(
        self, admission_request: AdmissionRequest
    ) -> Result[Permit, Refusal]:
        """Wait for a slot; the wait may be cancelled."""

    def observe_limit(self, requests_per_s: float | None) -> None:
        """Record the limit that a response of the upstream names, if any."""

    def observe_load(self, load: ReportedLoad) -> None:
        """Record the load that a response of the upstream reports."""

    def read_load(self) -> NodeLoad | None:
        """Return the room and the work left, ``None`` if no load is reported."""


class Quarantine(Protocol):
    """The requests that were in flight when upstreams crashed."""

    @property
    def is_empty(self) -> bool:
        """Whether nothing is known of any request."""

    def matches(self, head: str) -> bool:
        """Return whether anything is known of a request with this head."""

    def is_known(self, fingerprint: str) -> bool:
        """Return whether anything is known of a request."""

    def judge(self, fingerprints: Fingerprints) -> Verdict:
        """Return what may be done with a request now."""

    def find_standing(self, fingerprint: str) -> Standing:
        """Return what is known of a request that is about to be sent."""

    def notify_change(self, callback: Callable[[], None]) -> None:
        """Have ``callback`` called after each change of a suspicion."""

    def report_crash(self, upstream: str, suspects: Iterable[Suspect]) -> None:
        """Share which requests were in flight when the local upstream crashed."""

    def report_end(self, fingerprints: Fingerprints, request_id: str) -> None:
        """Share that a request has ended at the local upstream, if it is suspected."""


class NoQuarantine:
    """A quarantine that never holds a request; for parts without a control side."""

    is_empty = True

    def matches(self, head: str) -> bool:
        """Return false."""
        return False

    def is_known(self, fingerprint: str) -> bool:
        """Return true, so that nothing is held."""
        return True

    def judge(self, fingerprints: Fingerprints) -> Verdict:
        """Return that the request may run."""
        return Verdict(kind=VerdictKind.FREE)

    def find_standing(self, fingerprint: str) -> Standing:
        """Return that nothing is known."""
        return Standing(fingerprint=fingerprint)

    def notify_change(self, callback: Callable[[], None]) -> None:
        """Do nothing, since there are no changes."""

    def report_crash(self, upstream: str, suspects: Iterable[Suspect]) -> None:
        """Do nothing."""

    def report_end(self, fingerprints: Fingerprints, request_id: str) -> None:
        """Do nothing."""


class RetryPolicy(Protocol):
    """Decides whether a failed request may be attempted again."""

    def record_request(self, now: float) -> None:
        """Record a new request, which adds a fraction of a retry to the budget."""

    def allow_retry(self, now: float, attempt: int, deadline: float) -> float | None:
        """Return the delay in seconds before a retry, or ``None`` for no retry.

        Args:
            now: Event loop time.
            attempt: Number of attempts so far, at least 1.
            deadline: Event loop time by which the request must be answered.
        """
