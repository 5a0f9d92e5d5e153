"""Requests with an idempotency key: run once, joined, or answered again."""

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
from papayatack.proxy.headers import KEY_TOKEN_HEADER, REPLAYED_HEADER
from papayatack.proxy.interface import Ownership
from papayatack.proxy.local import KeyedAttempt, LocalServer
from papayatack.proxy.settling import is_settled, settle_response

__all__ = ["KeyedServer"]

MAX_BODY_BYTES = 128 * 1024
MAX_KEY_LENGTH = 256
RETRY_UNAVAILABLE_S = 1.0
_UNKNOWN = Refusal(
    kind=ErrorKind.IDEMPOTENCY_UNKNOWN, detail="the first attempt's answer is not known"
)

_Answer = Result[StoredResponse, Refusal]


@dataclasses.dataclass(slots=True, kw_only=True)
class _KeyedRequest:
    """A request with its body read, and where its outcome is remembered."""

    peer_request: PeerRequest
    key: str
    fingerprint: bytes
    stated: str
    deadline_s: float
    shard: ShardId = ShardId("")
    tenure: int = 0


class KeyedServer:
    """Serves the requests of own shards, each idempotency key at most once.

    Repeatable requests and those of services without keys pass: they need no memory.

    Args:
        local: Serves what is to be run.
        ownership: Says in which tenure a key is owned.
        metrics: Counts the decisions.
        store: Keeps the outcomes.

    Attributes:
        exchange: Hands the outcomes of released shards over.
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
        self._memory = IdempotencyRegistry(store=store or IdempotencyStore())
        self.exchange = OutcomeExchange(memory=self._memory)
        self._joined: dict[int, asyncio.Future[_Answer | None]] = {}

    async def serve(
        self, peer_request: PeerRequest, *, deadline_s: float
    ) -> Result[Response, Refusal]:
        """Serve a request; a repeat gets the answer of the first."""
        keyed = peer_request.idempotency_key and peer_request.key
        if not keyed or peer_request.repeatable:
            return await self._local.serve(peer_request, deadline_s=deadline_s)
        if len(peer_request.idempotency_key) > MAX_KEY_LENGTH:
            return _refuse(ErrorKind.HEADER_TOO_LARGE, "Idempotency-Key is too long")
        read = await _read_body(peer_request, deadline_s)
        if not is_successful(read):
            return Failure(read.failure())
        keyed_request = _build_keyed(peer_request, read.unwrap(), deadline_s)
        while True:
            result = await self._decide(keyed_request)
            if result is not None:
                return result

    async def _decide(self, request: _KeyedRequest) -> Result[Response, Refusal] | None:
        """Carry out one decision; ``None`` if another is due."""
        peer_request = request.peer_request
        owned = self._ownership.find_tenure(peer_request.service, peer_request.key)
        if owned is None or owned.current.shard != peer_request.shard:
            self._metrics.count("idempotency", ErrorKind.NOT_OWNER.value)
            return _refuse(ErrorKind.NOT_OWNER, "the key is not owned here")
        request.tenure = owned.current.number
        request.shard, decision = self._memory.begin(
            _now(),
            owned,
            request.key,
            request.fingerprint,
            first_attempt_token=request.stated,
        )
        return await self._carry_out(decision, request)

    @functools.singledispatchmethod
    async def _carry_out(
        self, decision: Decision, request: _KeyedRequest
    ) -> Result[Response, Refusal] | None:
        raise TypeError(decision)

    @_carry_out.register
    async def _(self, decision: Refuse, request: _KeyedRequest) -> Result:
        refusal = decision.refusal
        self._metrics.count("idempotency", refusal.kind.value)
        token = format_token(request.shard, decision.token)
        return Failure(dataclasses.replace(refusal, key_token=token))

    @_carry_out.register
    async def _(self, decision: Replay, request: _KeyedRequest) -> Result:
        self._metrics.count("idempotency", "replay")
        return Success(_build_replay(decision.response))

    @_carry_out.register
    async def _(self, decision: Join, request: _KeyedRequest) -> Result | None:
        """Wait for the first attempt, but not beyond the own deadline."""
        self._metrics.count("idempotency", "join")
        future = asyncio.get_running_loop().create_future()
        self._joined[decision.waiter_id] = future
        try:
            async with asyncio.timeout_at(request.deadline_s):
                answer = await future
        except TimeoutError:
            return Failure(_UNKNOWN)
        finally:
            self._joined.pop(decision.waiter_id, None)
            self._memory.remove_waiter(request.shard, request.key, decision.waiter_id)
        return None if answer is None else answer.map(_build_replay)

    @_carry_out.register
    async def _(self, decision: Run, request: _KeyedRequest) -> Result:
        self._metrics.count("idempotency", "run")
        attempt = KeyedAttempt(is_current=functools.partial(self._is_current, request))
        try:
            result = await self._local.serve(
                request.peer_request, deadline_s=request.deadline_s, attempt=attempt
            )
            kept = await _keep(result)
        except BaseException:
            if attempt.sent:
                self._complete(request, Outcome.UNKNOWN, Failure(_UNKNOWN))
            else:
                self._complete(request, Outcome.NOT_RUN, None)
            raise
        if not is_successful(kept):
            outcome = get_error_response(kept.failure().kind).outcome
            self._complete(request, outcome, Failure(kept.failure()))
            return kept
        response, answer = kept.unwrap()
        joined = Failure(_UNKNOWN) if answer is None else Success(answer)
        self._complete(request, Outcome.ANSWERED, joined)
        return Success(response)

    def _is_current(self, request: _KeyedRequest) -> bool:
        """Whether the key is owned in the tenure in which its run was decided."""
        peer_request = request.peer_request
        owned = self._ownership.find_tenure(peer_request.service, peer_request.key)
        return (
            owned is not None
            and owned.current.shard == peer_request.shard
            and owned.current.number == request.tenure
        )

    def _complete(
        self, request: _KeyedRequest, outcome: Outcome, result: _Answer | None
    ) -> None:
        """Remember how a run ended, and pass it to the repeats that joined.

        Without a result, since the run was given up in the queue, they decide anew.
        """
        answer = None if result is None else result.value_or(None)
        joined = self._memory.complete(
            _now(),
            request.shard,
            request.key,
            outcome=outcome,
            response=answer,
        )
        for number in joined:
            future = self._joined.get(number)
            if future is not None and not future.done():
                future.set_result(result)


async def _read_body(
    peer_request: PeerRequest, deadline_s: float
) -> Result[bytes, Refusal]:
    """Read a whole body, since a repeat is compared with it."""
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
        return _refuse(ErrorKind.DEADLINE_EXPIRED, "the body came too late")
    return Success(b"".join(chunks))


def _build_keyed(
    peer_request: PeerRequest, data: bytes, deadline_s: float
) -> _KeyedRequest:
    """Return the request with the digests of its key and of all that must be equal."""
    request = peer_request.request
    stated = find_header(request.headers, KEY_TOKEN_HEADER) or b""
    partner = peer_request.partner
    key = _digest(partner, peer_request.key, peer_request.idempotency_key)
    return _KeyedRequest(
        peer_request=dataclasses.replace(
            peer_request,
            request=dataclasses.replace(request, body=BytesBody(data=data)),
        ),
        key=key.hex(),
        fingerprint=_digest(partner, request.method, request.target, data),
        stated=stated.decode("latin-1"),
        deadline_s=deadline_s,
    )


def _digest(*parts: str | bytes) -> bytes:
    """Return a digest of parts that keeps their limits apart."""
    digest = hashlib.blake2b(digest_size=16)
    for part in parts:
        data = (
            part.encode("utf-8", "surrogateescape") if isinstance(part, str) else part
        )
        digest.update(b"%d:" % len(data))
        digest.update(data)
    return digest.digest()


async def _keep(
    result: Result[Response, Refusal],
) -> Result[tuple[Response, StoredResponse | None], Refusal]:
    """Return a response, and what is kept of it if it is short."""
    if not is_successful(result):
        return Failure(result.failure())
    response = result.unwrap()
    settled = await settle_response(response)
    if not is_successful(settled):
        return Failure(settled.failure())
    whole = settled.unwrap()
    if not is_settled(whole):
        return Success((whole, None))
    data = await whole.body.read()
    whole.body = BytesBody(data=data)
    answer = StoredResponse(status=whole.status, headers=whole.headers, body=data)
    return Success((whole, answer))


def _build_replay(answer: StoredResponse) -> Response:
    return Response(
        status=answer.status,
        headers=(*answer.headers, (REPLAYED_HEADER, b"true")),
        body=BytesBody(data=answer.body),
    )


def _refuse(kind: ErrorKind, detail: str) -> Result:
    return Failure(Refusal(kind=kind, detail=detail))


def _now() -> float:
    return asyncio.get_running_loop().time()
