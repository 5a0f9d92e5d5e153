"""The error kinds, the response to each of them, and the package's exceptions.

Every request that does not end with an upstream's response ends with exactly one
:class:`ErrorKind`. :data:`ERROR_RESPONSES` defines the response for each kind; no other
module of the package chooses a status or an outcome.
"""

import dataclasses
import enum
from collections.abc import Mapping

__all__ = [
    "ERROR_RESPONSES",
    "ErrorResponse",
    "ConfigConflictError",
    "ErrorKind",
    "InventoryError",
    "LogUnavailableError",
    "Outcome",
    "PapayatackError",
    "Refusal",
    "SettingsError",
    "get_error_response",
]


class Outcome(enum.StrEnum):
    """Whether a request was run, sent to callers as ``Papayatack-Outcome``."""

    ANSWERED = "answered"
    NOT_RUN = "not-run"
    UNKNOWN = "unknown"


class ErrorKind(enum.StrEnum):
    """Reasons why a request did not end with an upstream's response."""

    MALFORMED_REQUEST = "malformed-request"
    HEADER_TOO_LARGE = "header-too-large"
    BODY_TOO_LARGE = "body-too-large"
    SLOW_CALLER = "slow-caller"
    BODY_LOST = "body-lost"
    CONNECTION_LIMIT = "connection-limit"
    NO_SUCH_SERVICE = "no-such-service"
    KEY_MISSING = "key-missing"
    KEY_OUT_OF_RANGE = "key-out-of-range"
    NO_OWNER = "no-owner"
    NOT_OWNER = "not-owner"
    LEASE_EXPIRED = "lease-expired"
    CONFIG_STALE = "config-stale"
    QUEUE_FULL = "queue-full"
    DEADLINE_UNREACHABLE = "deadline-unreachable"
    DEADLINE_EXPIRED = "deadline-expired"
    NODE_DRAINING = "node-draining"
    UPSTREAM_SHED = "upstream-shed"
    UPSTREAM_DRAINING = "upstream-draining"
    UPSTREAM_UNREACHABLE = "upstream-unreachable"
    UPSTREAM_EJECTED = "upstream-ejected"
    UPSTREAM_COLD = "upstream-cold"
    DATA_CENTRE_EVACUATED = "data-centre-evacuated"
    SERVICE_EVACUATED = "service-evacuated"
    GRANT_REFUSED = "grant-refused"
    PEER_UNREACHABLE = "peer-unreachable"
    PEER_LOST = "peer-lost"
    UPSTREAM_LOST = "upstream-lost"
    UPSTREAM_CRASHED = "upstream-crashed"
    REQUEST_HELD = "request-held"
    REQUEST_QUARANTINED = "request-quarantined"
    UPSTREAM_TIMEOUT = "upstream-timeout"
    UPSTREAM_FAILED = "upstream-failed"
    RESPONSE_TRUNCATED = "response-truncated"
    RETRY_BUDGET_SPENT = "retry-budget-spent"
    CALLER_LEFT = "caller-left"
    IDEMPOTENCY_UNKNOWN = "idempotency-unknown"
    IDEMPOTENCY_MISMATCH = "idempotency-mismatch"
    INTERNAL = "internal"


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class ErrorResponse:
    """The response to a request that ended with an error kind.

    Attributes:
        status: HTTP status code.
        outcome: Whether the request was run.
        retryable: Whether the router itself may retry the request if it is repeatable.
        remedy: What the caller can do, in one sentence.
    """

    status: int
    outcome: Outcome
    retryable: bool
    remedy: str


def _not_run(status: int, remedy: str, *, retryable: bool = False) -> ErrorResponse:
    return ErrorResponse(
        status=status, outcome=Outcome.NOT_RUN, retryable=retryable, remedy=remedy
    )


def _unknown(status: int, remedy: str, *, retryable: bool = True) -> ErrorResponse:
    return ErrorResponse(
        status=status, outcome=Outcome.UNKNOWN, retryable=retryable, remedy=remedy
    )


_RETRY_REMEDY = "Repeat the request after the time in Retry-After."
_CHECK_REMEDY = "Check whether the request took effect before repeating it."

ERROR_RESPONSES: Mapping[ErrorKind, ErrorResponse] = {
    ErrorKind.MALFORMED_REQUEST: _not_run(400, "Send a valid HTTP/1.1 request."),
    ErrorKind.HEADER_TOO_LARGE: _not_run(431, "Send fewer or shorter header fields."),
    ErrorKind.BODY_TOO_LARGE: _not_run(413, "Send a smaller body."),
    ErrorKind.SLOW_CALLER: _not_run(408, "Send the request without long pauses."),
    ErrorKind.BODY_LOST: _not_run(503, _RETRY_REMEDY),
    ErrorKind.CONNECTION_LIMIT: _not_run(503, "Reuse open connections."),
    ErrorKind.NO_SUCH_SERVICE: _not_run(404, "Use a path of a published service."),
    ErrorKind.KEY_MISSING: _not_run(400, "Put the key where the inventory says."),
    ErrorKind.KEY_OUT_OF_RANGE: _not_run(404, "Use a key of a published range."),
    ErrorKind.NO_OWNER: _not_run(503, _RETRY_REMEDY, retryable=True),
    ErrorKind.NOT_OWNER: _not_run(503, _RETRY_REMEDY, retryable=True),
    ErrorKind.LEASE_EXPIRED: _not_run(503, _RETRY_REMEDY, retryable=True),
    ErrorKind.CONFIG_STALE: _not_run(503, _RETRY_REMEDY, retryable=True),
    ErrorKind.QUEUE_FULL: _not_run(503, _RETRY_REMEDY),
    ErrorKind.DEADLINE_UNREACHABLE: _not_run(503, _RETRY_REMEDY),
    ErrorKind.DEADLINE_EXPIRED: _not_run(504, "Allow the request more time."),
    ErrorKind.NODE_DRAINING: _not_run(503, _RETRY_REMEDY, retryable=True),
    ErrorKind.UPSTREAM_SHED: _not_run(503, _RETRY_REMEDY, retryable=True),
    ErrorKind.UPSTREAM_DRAINING: _not_run(503, _RETRY_REMEDY, retryable=True),
    ErrorKind.UPSTREAM_UNREACHABLE: _not_run(503, _RETRY_REMEDY, retryable=True),
    ErrorKind.UPSTREAM_EJECTED: _not_run(503, _RETRY_REMEDY, retryable=True),
    ErrorKind.UPSTREAM_COLD: _not_run(503, _RETRY_REMEDY, retryable=True),
    ErrorKind.DATA_CENTRE_EVACUATED: _not_run(503, _RETRY_REMEDY, retryable=True),
    ErrorKind.SERVICE_EVACUATED: _not_run(503, _RETRY_REMEDY),
    ErrorKind.GRANT_REFUSED: _not_run(503, _RETRY_REMEDY, retryable=True),
    ErrorKind.PEER_UNREACHABLE: _not_run(503, _RETRY_REMEDY, retryable=True),
    ErrorKind.PEER_LOST: _unknown(502, _CHECK_REMEDY),
    ErrorKind.UPSTREAM_LOST: _unknown(502, _CHECK_REMEDY),
    ErrorKind.UPSTREAM_CRASHED: _unknown(502, _CHECK_REMEDY),
    ErrorKind.REQUEST_HELD: _not_run(503, _RETRY_REMEDY),
    ErrorKind.REQUEST_QUARANTINED: _not_run(
        503, "Do not repeat the request; ask the operators of the service."
    ),
    ErrorKind.UPSTREAM_TIMEOUT: _unknown(504, _CHECK_REMEDY, retryable=False),
    ErrorKind.UPSTREAM_FAILED: _unknown(502, _CHECK_REMEDY),
    ErrorKind.RESPONSE_TRUNCATED: _unknown(502, _CHECK_REMEDY),
    ErrorKind.RETRY_BUDGET_SPENT: _not_run(503, _RETRY_REMEDY),
    ErrorKind.CALLER_LEFT: _unknown(499, _CHECK_REMEDY, retryable=False),
    ErrorKind.IDEMPOTENCY_UNKNOWN: _unknown(409, _CHECK_REMEDY, retryable=False),
    ErrorKind.IDEMPOTENCY_MISMATCH: _not_run(
        422, "Use a new Idempotency-Key for a different request."
    ),
    ErrorKind.INTERNAL: _unknown(500, _CHECK_REMEDY, retryable=False),
}


def get_error_response(kind: ErrorKind) -> ErrorResponse:
    """Return the response that is sent to callers for ``kind``."""
    return ERROR_RESPONSES[kind]


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Refusal:
    """The failure of one request, passed between components in a ``returns`` Failure.

    Attributes:
        kind: Why the request failed.
        detail: Description of the failure, for the log and the response body.
        retry_after_s: Seconds after which a retry may succeed; ``None`` to omit it.
        key_token: Token that the caller may send as the first-attempt token of a new
            idempotency key; empty if it would not change the result.
    """

    kind: ErrorKind
    detail: str = ""
    retry_after_s: float | None = None
    key_token: str = ""


class PapayatackError(Exception):
    """Base class of the exceptions that papayatack raises."""


class SettingsError(PapayatackError):
    """The settings are invalid; the message names the section, the key and a remedy."""


class InventoryError(PapayatackError):
    """An inventory or its rules are invalid.

    Attributes:
        faults: The errors found, one sentence each, with the location in the document
            and a remedy.
    """

    def __init__(self, *faults: str) -> None:
        super().__init__("\n".join(faults))
        self.faults = faults


class ConfigConflictError(PapayatackError):
    """Another publication took effect first; publish again from the new version."""


class LogUnavailableError(PapayatackError):
    """The platform's log service is unreachable; retry when it is available again."""
