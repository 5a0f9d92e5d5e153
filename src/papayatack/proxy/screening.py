"""Keeps requests that crash upstreams from reaching the local upstream.

Requests of which nothing is suspected pass unread. The body of one whose head is known
is read as far as it is compared. Suspects run one at a time, so that of the requests in
flight at the next crash at most one was in flight at an earlier one.
"""

import asyncio
import dataclasses

from returns.result import Failure, Result, Success

from papayatack.core.errors import ErrorKind, Refusal
from papayatack.core.ownership.suspicions import Standing, Suspect
from papayatack.core.quarantine import (
    BODY_PREFIX_BYTES,
    Fingerprints,
    RequestIdentity,
    Verdict,
    VerdictKind,
    compute_fingerprints,
    compute_head_digest,
)
from papayatack.network.bodies import Body, BytesBody, IncompleteBodyError, PrefixedBody
from papayatack.network.exchanges import PeerRequest, find_header
from papayatack.network.upstreams import UpstreamPool
from papayatack.observability.metrics import Metrics
from papayatack.proxy.crashes import Run
from papayatack.proxy.dialect import Dialect
from papayatack.proxy.interface import Quarantine

__all__ = ["ScreenedRequest", "Screening"]

MAX_WAITING = 64
"""Number of suspects that wait for their turn; any further is refused."""


@dataclasses.dataclass(slots=True, kw_only=True, eq=False)
class ScreenedRequest:
    """A request that may be sent to the upstream.

    Attributes:
        peer_request: The request; its body still has all bytes.
        fingerprints: Its digests, ``None`` if nothing was known of its head.
        is_suspected: Whether it was in flight at a crash and has not ended since.
        is_alone: Whether it runs while no other suspect does.
    """

    peer_request: PeerRequest
    fingerprints: Fingerprints | None = None
    is_suspected: bool = False
    is_alone: bool = False


class Screening:
    """Decides whether requests may be sent to the local upstream, and when.

    Args:
        quarantine: What is known of requests.
        dialect: Reads the caller of a request.
        metrics: Counts ``suspects`` by what was done with them.
    """

    def __init__(
        self, *, quarantine: Quarantine, dialect: Dialect, metrics: Metrics
    ) -> None:
        self._quarantine = quarantine
        self._dialect = dialect
        self._metrics = metrics
        self._running: ScreenedRequest | None = None
        self._waiting: dict[asyncio.Future[None], None] = {}
        quarantine.notify_change(self._wake)

    def identify(self, peer_request: PeerRequest) -> RequestIdentity:
        """Return what is equal in requests that are the same."""
        request = peer_request.request
        return RequestIdentity(
            service=peer_request.service,
            method=request.method,
            host=find_header(request.headers, b"host") or b"",
            target=request.target,
            caller=self._dialect.read_caller(peer_request),
            key=peer_request.key,
        )

    async def screen(
        self, peer_request: PeerRequest, deadline_s: float
    ) -> Result[ScreenedRequest, Refusal]:
        """Return a request with its fingerprints, or why it may not run now."""
        screened = ScreenedRequest(peer_request=peer_request)
        if not self._is_known(peer_request) and not peer_request.crashes:
            return Success(screened)
        identity = self.identify(peer_request)
        try:
            async with asyncio.timeout_at(deadline_s):
                fingerprints = await _read_fingerprints(screened, identity)
        except IncompleteBodyError as error:
            return Failure(Refusal(kind=error.kind, detail=error.detail))
        except TimeoutError:
            return Failure(Refusal(kind=ErrorKind.DEADLINE_EXPIRED))
        verdict = self._quarantine.judge(fingerprints)
        if verdict.kind >= VerdictKind.HELD:
            return Failure(self._refuse(verdict))
        screened.fingerprints = fingerprints
        is_unreported = self._is_unreported(screened)
        screened.is_suspected = is_unreported or verdict.kind is not VerdictKind.FREE
        return Success(screened)

    async def admit(
        self, peer_request: PeerRequest, deadline_s: float
    ) -> Result[ScreenedRequest, Refusal]:
        """Return a request that may run, after its turn has come if it is suspected.

        Each success must be paired with one call of :meth:`release`.
        """
        result = await self.screen(peer_request, deadline_s)
        match result:
            case Success(screened) if screened.fingerprints is not None:
                return await self._wait_turn(
                    screened, screened.fingerprints, deadline_s
                )
        return result

    def is_current(self, screened: ScreenedRequest) -> bool:
        """Return whether a request that was admitted may still be sent."""
        if screened.fingerprints is None:
            return not self._is_known(screened.peer_request)
        kind = self._quarantine.judge(screened.fingerprints).kind
        return kind <= (VerdictKind.ALONE if screened.is_alone else VerdictKind.FREE)

    def release(self, screened: ScreenedRequest) -> None:
        """Let the next suspect run if this was the one that ran alone."""
        if self._running is screened:
            self._running = None
            self._wake()

    def find_standings(
        self, screened: ScreenedRequest
    ) -> tuple[Standing, Standing] | None:
        """Return what is known of a request that is about to be sent."""
        fingerprints = screened.fingerprints
        if fingerprints is None:
            return None
        broad = self._quarantine.find_standing(fingerprints.broad)
        exact = self._quarantine.find_standing(fingerprints.exact)
        if self._is_unreported(screened):
            rounds = screened.peer_request.crashes
            broad = dataclasses.replace(broad, rounds=max(broad.rounds, rounds))
            exact = dataclasses.replace(exact, rounds=rounds)
        return broad, exact

    def report_end(self, run: Run) -> None:
        """Clear a request that has ended at the upstream."""
        if not self._is_known(run.peer_request):
            return
        fingerprints = _compute_from_run(run, self.identify(run.peer_request))
        if fingerprints is None:
            return
        if self._quarantine.judge(fingerprints).kind is not VerdictKind.FREE:
            self._metrics.count("suspects", "ended")
            self._quarantine.report_end(fingerprints, run.peer_request.request_id)

    def report_crash(self, pool: UpstreamPool, runs: list[Run]) -> None:
        """Report the requests in flight at a crash whose bodies had been sent."""
        suspects = [self._build_suspect(run) for run in runs]
        found = [suspect for suspect in suspects if suspect is not None]
        self._metrics.count("suspects", "found", len(found))
        self._quarantine.report_crash(pool.name, found)

    def _build_suspect(self, run: Run) -> Suspect | None:
        identity = self.identify(run.peer_request)
        fingerprints = _compute_from_run(run, identity)
        if fingerprints is None:
            return None
        broad, exact = run.standings or (
            Standing(fingerprint=fingerprints.broad),
            Standing(fingerprint=fingerprints.exact),
        )
        return Suspect(
            broad=broad,
            exact=exact,
            head=compute_head_digest(identity),
            service=identity.service,
            caller=identity.caller,
            request_id=run.peer_request.request_id,
        )

    def _is_unreported(self, screened: ScreenedRequest) -> bool:
        """Return whether the request comes with crashes that are not known here yet."""
        fingerprints = screened.fingerprints
        if fingerprints is None or not screened.peer_request.crashes:
            return False
        return not self._quarantine.is_known(fingerprints.exact)

    def _is_known(self, peer_request: PeerRequest) -> bool:
        """Return whether anything is known of requests with the same head."""
        if self._quarantine.is_empty:
            return False
        head = compute_head_digest(self.identify(peer_request))
        return self._quarantine.matches(head)

    async def _wait_turn(
        self, screened: ScreenedRequest, fingerprints: Fingerprints, deadline_s: float
    ) -> Result[ScreenedRequest, Refusal]:
        while True:
            verdict = self._quarantine.judge(fingerprints)
            is_free = verdict.kind is VerdictKind.FREE
            if is_free and not self._is_unreported(screened):
                return Success(screened)
            if verdict.kind >= VerdictKind.HELD:
                return Failure(self._refuse(verdict))
            if self._running is None:
                self._metrics.count("suspects", "alone")
                screened.is_alone = True
                self._running = screened
                return Success(screened)
            if not await self._wait_change(deadline_s):
                self._metrics.count("suspects", "crowded")
                detail = "other requests that were in flight at a crash run first"
                return Failure(Refusal(kind=ErrorKind.REQUEST_HELD, detail=detail))

    async def _wait_change(self, deadline_s: float) -> bool:
        """Wait until a verdict may have changed; return whether that was in time."""
        if len(self._waiting) >= MAX_WAITING:
            return False
        waiter: asyncio.Future[None] = asyncio.get_running_loop().create_future()
        self._waiting[waiter] = None
        try:
            async with asyncio.timeout_at(deadline_s):
                await waiter
        except TimeoutError:
            return False
        finally:
            self._waiting.pop(waiter, None)
        return True

    def _wake(self) -> None:
        for waiter in self._waiting:
            if not waiter.done():
                waiter.set_result(None)

    def _refuse(self, verdict: Verdict) -> Refusal:
        is_held = verdict.kind is VerdictKind.HELD
        kind = ErrorKind.REQUEST_HELD if is_held else ErrorKind.REQUEST_QUARANTINED
        self._metrics.count("suspects", verdict.kind.name.lower())
        return Refusal(
            kind=kind,
            detail="upstreams crashed each time this request ran",
            retry_after_s=verdict.retry_after_s,
        )


async def _read_fingerprints(
    screened: ScreenedRequest, identity: RequestIdentity
) -> Fingerprints:
    """Read the part of the body that is compared, and put it back."""
    request = screened.peer_request.request
    prefix, is_whole = await _read_prefix(request.body)
    body: Body = BytesBody(data=prefix)
    if not is_whole:
        body = PrefixedBody(data=prefix, rest=request.body)
    screened.peer_request = dataclasses.replace(
        screened.peer_request, request=dataclasses.replace(request, body=body)
    )
    return compute_fingerprints(
        identity,
        prefix[:BODY_PREFIX_BYTES],
        is_whole=is_whole and len(prefix) <= BODY_PREFIX_BYTES,
    )


async def _read_prefix(body: Body) -> tuple[bytes, bool]:
    """Read more than the compared part of a body; return whether it is all of it."""
    chunks: list[bytes] = []
    size = 0
    while size <= BODY_PREFIX_BYTES:
        data = await body.read()
        if not data:
            return b"".join(chunks), True
        chunks.append(data)
        size += len(data)
    return b"".join(chunks), False


def _compute_from_run(run: Run, identity: RequestIdentity) -> Fingerprints | None:
    """Return the fingerprints of a run, ``None`` if too little of its body was sent."""
    if run.standings is not None:
        broad, exact = run.standings
        return Fingerprints(broad=broad.fingerprint, exact=exact.fingerprint)
    body = run.body
    if not body.is_comparable:
        return None
    return compute_fingerprints(identity, body.prefix, is_whole=body.is_whole)
