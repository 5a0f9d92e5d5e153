"""Requests with an idempotency key, which run at most once.

A repeat waits for the first attempt if that is still running, and otherwise gets its
stored response.
"""

import asyncio
import dataclasses
import functools
import hashlib

from returns.pipeline import is_successful
from returns.result import Failure, Result, Success

from papayatack.core.errors import ErrorKind, Outcome, Refusal, get_error_response
from papayatack.core.idempotency import (
    Decision,
    IdempotencyRegistry,
    IdempotencyStore,
    Join,
    OutcomeExchange,
    Refuse,
    Replay,
    Run,
    StoredResponse,
    format_token,
)
from papayatack.core.identity import ShardId
from papayatack.network.bodies import BytesBody, IncompleteBodyError
from papayatack.network.exchanges import PeerRequest, Response, find_header
from papayatack.observability.metrics import Metrics
from papayatack.proxy.buffering import buffer_response, is_buffered
from papayatack.proxy.headers import KEY_TOKEN_HEADER, REPLAYED_HEADER
from papayatack.proxy.interface import Ownership
from papayatack.proxy.local import IdempotentAttempt, LocalServer

__all__ = ["IdempotentServer"]

MAX_BODY_BYTES = 128 * 1024
"""Longest body of a request with an idempotency key."""
MAX_KEY_LENGTH = 256
"""Longest idempotency key, in characters."""
RETRY_UNAVAILABLE_S = 1.0
_UNKNOWN = Refusal(
    kind=ErrorKind.IDEMPOTENCY_UNKNOWN,
    detail="the response of the first attempt is unknown",
)

_StoredResult = Result[StoredResponse, Refusal]


@dataclasses.dataclass(slots=True, kw_only=True)
class _IdempotentRequest:
    """A request whose body has been read, and where its outcome is recorded.

    Attributes:
        peer_request: The request, with its body in memory.
        key: Digest of the partner, the request's key and its idempotency key.
        fingerprint: Digest of all that must be equal in a repeat.
        first_attempt_token: The token that the caller sent; empty if none.
        deadline_s: Event loop time after which the response is of no use.
        shard: The shard under which the outcome is recorded.
        tenure_number: The tenure in which the decision was made.
    """

    peer_request: PeerRequest
    key: str
    fingerprint: bytes
    first_attempt_token: str
    deadline_s: float
    shard: ShardId = ShardId("")
    tenure_number: int = 0


class IdempotentServer:
    """Serves requests of owned shards, at most one run for each idempotency key.

    Repeatable requests and those of services without keys are passed on unchanged,
    since no outcome has to be recorded for them.

    Args:
        local: Runs requests at the local upstream.
        ownership: Provides the tenure in which a key is owned.
        metrics: Counts the decisions.
        store: Stores the outcomes.

    Attributes:
        exchange: Transfers the outcomes of released shards.
    """

    def __init__(
        self,
        *,
        local: LocalServer,
        ownership: Ownership,
        metrics: Metrics,
        store: IdempotencyStore | None = None,
    ) -> None:
        self._local = local
        self._ownership = ownership
        self._metrics = metrics
        self._registry = IdempotencyRegistry(store=store or IdempotencyStore())
        self.exchange = OutcomeExchange(registry=self._registry)
        self._waiters: dict[int, asyncio.Future[_StoredResult | None]] = {}

    async def serve(
        self, peer_request: PeerRequest, *, deadline_s: float
    ) -> Result[Response, Refusal]:
        """Serve a request; a repeat gets the response of the first attempt."""
        has_key = peer_request.idempotency_key and peer_request.key
        if not has_key or peer_request.repeatable:
            return await self._local.serve(peer_request, deadline_s=deadline_s)
        if len(peer_request.idempotency_key) > MAX_KEY_LENGTH:
            return _refuse(ErrorKind.HEADER_TOO_LARGE, "Idempotency-Key is too long")
        read = await _read_body(peer_request, deadline_s)
        if not is_successful(read):
            return Failure(read.failure())
        idempotent_request = _build_idempotent_request(
            peer_request, read.unwrap(), deadline_s
        )
        while True:
            result = await self._decide(idempotent_request)
            if result is not None:
                return result

    async def _decide(
        self, request: _IdempotentRequest
    ) -> Result[Response, Refusal] | None:
        """Execute one decision; return ``None`` if a new decision is needed."""
        peer_request = request.peer_request
        owned = self._ownership.find_tenure(peer_request.service, peer_request.key)
        if owned is None or owned.current.shard != peer_request.shard:
            self._metrics.count("idempotency", ErrorKind.NOT_OWNER.value)
            return _refuse(ErrorKind.NOT_OWNER, "the key is not owned here")
        request.tenure_number = owned.current.number
        request.shard, decision = self._registry.begin(
            _now(),
            owned,
            request.key,
            request.fingerprint,
            first_attempt_token=request.first_attempt_token,
        )
        return await self._execute(decision, request)

    @functools.singledispatchmethod
    async def _execute(
        self, decision: Decision, request: _IdempotentRequest
    ) -> Result[Response, Refusal] | None:
        raise TypeError(decision)

    @_execute.register
    async def _(self, decision: Refuse, request: _IdempotentRequest) -> Result:
        refusal = decision.refusal
        self._metrics.count("idempotency", refusal.kind.value)
        token = format_token(request.shard, decision.token)
        return Failure(dataclasses.replace(refusal, key_token=token))

    @_execute.register
    async def _(self, decision: Replay, request: _IdempotentRequest) -> Result:
        self._metrics.count("idempotency", "replay")
        return Success(_build_replay(decision.response))

    @_execute.register
    async def _(self, decision: Join, request: _IdempotentRequest) -> Result | None:
        """Wait for the first attempt, at most until the deadline of this request."""
        self._metrics.count("idempotency", "join")
        future = asyncio.get_running_loop().create_future()
        self._waiters[decision.waiter_id] = future
        try:
            async with asyncio.timeout_at(request.deadline_s):
                stored_response = await future
        except TimeoutError:
            return Failure(_UNKNOWN)
        finally:
            self._waiters.pop(decision.waiter_id, None)
            self._registry.remove_waiter(request.shard, request.key, decision.waiter_id)
        return None if stored_response is None else stored_response.map(_build_replay)

    @_execute.register
    async def _(self, decision: Run, request: _IdempotentRequest) -> Result:
        self._metrics.count("idempotency", "run")
        attempt = IdempotentAttempt(
            is_current=functools.partial(self._is_current, request)
        )
        try:
            result = await self._local.serve(
                request.peer_request, deadline_s=request.deadline_s, attempt=attempt
            )
            stored = await _build_stored_response(result)
        except BaseException:
            if attempt.sent:
                self._complete(request, Outcome.UNKNOWN, Failure(_UNKNOWN))
            else:
                self._complete(request, Outcome.NOT_RUN, None)
            raise
        if not is_successful(stored):
            outcome = get_error_response(stored.failure().kind).outcome
            self._complete(request, outcome, Failure(stored.failure()))
            return stored
        response, stored_response = stored.unwrap()
        stored_result = (
            Failure(_UNKNOWN) if stored_response is None else Success(stored_response)
        )
        self._complete(request, Outcome.ANSWERED, stored_result)
        return Success(response)

    def _is_current(self, request: _IdempotentRequest) -> bool:
        """Whether the key is still owned in the tenure in which its run was decided."""
        peer_request = request.peer_request
        owned = self._ownership.find_tenure(peer_request.service, peer_request.key)
        return (
            owned is not None
            and owned.current.shard == peer_request.shard
            and owned.current.number == request.tenure_number
        )

    def _complete(
        self,
        request: _IdempotentRequest,
        outcome: Outcome,
        result: _StoredResult | None,
    ) -> None:
        """Record the outcome of a run and pass its result to the waiting repeats.

        A run that was cancelled in the queue has no result; the repeats then decide
        again.
        """
        stored_response = None if result is None else result.value_or(None)
        waiter_ids = self._registry.complete(
            _now(),
            request.shard,
            request.key,
            outcome=outcome,
            response=stored_response,
        )
        for waiter_id in waiter_ids:
            future = self._waiters.get(waiter_id)
            if future is not None and not future.done():
                future.set_result(result)


async def _read_body(
    peer_request: PeerRequest, deadline_s: float
) -> Result[bytes, Refusal]:
    """Read the whole body, since repeats are compared with it."""
    chunks: list[bytes] = []
    size = 0
    try:
        async with asyncio.timeout_at(deadline_s):
            while data := await peer_request.request.body.read():
                size += len(data)
                if size > MAX_BODY_BYTES:
                    return _refuse(
                        ErrorKind.BODY_TOO_LARGE,
                        f"a body with Idempotency-Key has at most {MAX_BODY_BYTES}"
                        " bytes, as repeats are compared with it",
                    )
                chunks.append(data)
    except IncompleteBodyError as error:
        return _refuse(error.kind, error.detail)
    except TimeoutError:
        return _refuse(
            ErrorKind.DEADLINE_EXPIRED,
            "the request body did not arrive before the deadline",
        )
    return Success(b"".join(chunks))


def _build_idempotent_request(
    peer_request: PeerRequest, data: bytes, deadline_s: float
) -> _IdempotentRequest:
    """Return the request with its digests and its body in memory."""
    request = peer_request.request
    first_attempt_token = find_header(request.headers, KEY_TOKEN_HEADER) or b""
    partner = peer_request.partner
    key = _digest(partner, peer_request.key, peer_request.idempotency_key)
    return _IdempotentRequest(
        peer_request=dataclasses.replace(
            peer_request,
            request=dataclasses.replace(request, body=BytesBody(data=data)),
        ),
        key=key.hex(),
        fingerprint=_digest(partner, request.method, request.target, data),
        first_attempt_token=first_attempt_token.decode("latin-1"),
        deadline_s=deadline_s,
    )


def _digest(*parts: str | bytes) -> bytes:
    """Return a digest of the parts.

    Each part is prefixed with its length, so that parts that are split differently
    have different digests.
    """
    digest = hashlib.blake2b(digest_size=16)
    for part in parts:
        data = (
            part.encode("utf-8", "surrogateescape") if isinstance(part, str) else part
        )
        digest.update(b"%d:" % len(data))
        digest.update(data)
    return digest.digest()


async def _build_stored_response(
    result: Result[Response, Refusal],
) -> Result[tuple[Response, StoredResponse | None], Refusal]:
    """Return a response, and what is stored of it, ``None`` if it is too long."""
    if not is_successful(result):
        return Failure(result.failure())
    response = result.unwrap()
    buffered = await buffer_response(response)
    if not is_successful(buffered):
        return Failure(buffered.failure())
    complete_response = buffered.unwrap()
    if not is_buffered(complete_response):
        return Success((complete_response, None))
    data = await complete_response.body.read()
    complete_response.body = BytesBody(data=data)
    stored_response = StoredResponse(
        status=complete_response.status, headers=complete_response.headers, body=data
    )
    return Success((complete_response, stored_response))


def _build_replay(stored_response: StoredResponse) -> Response:
    """Return the response to a repeat of a request, marked as a stored one."""
    return Response(
        status=stored_response.status,
        headers=(*stored_response.headers, (REPLAYED_HEADER, b"true")),
        body=BytesBody(data=stored_response.body),
    )


def _refuse(kind: ErrorKind, detail: str) -> Result:
    return Failure(Refusal(kind=kind, detail=detail))


def _now() -> float:
    return asyncio.get_running_loop().time()
