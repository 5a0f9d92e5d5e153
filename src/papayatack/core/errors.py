"""The closed list of error kinds, the answer to each, and the exceptions.

Every request that is not answered by an upstream ends with exactly one
:class:`ErrorKind`. :data:`ANSWERS` maps each kind to what the caller is told; nothing
else in the package chooses a status or an outcome.
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
    """What is known of a request's effect, sent as ``Papayatack-Outcome``."""

    ANSWERED = "answered"
    NOT_RUN = "not-run"
    UNKNOWN = "unknown"


class ErrorKind(enum.StrEnum):
    """Every reason for which a request is not answered by an upstream."""

    MALFORMED_REQUEST = "malformed-request"
    HEADER_TOO_LARGE = "header-too-large"
    BODY_TOO_LARGE = "body-too-large"
    SLOW_CALLER = "slow-caller"
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
    GRANT_REFUSED = "grant-refused"
    PEER_UNREACHABLE = "peer-unreachable"
    PEER_LOST = "peer-lost"
    UPSTREAM_LOST = "upstream-lost"
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
    """What a caller is told for an error kind.

    Attributes:
        status: HTTP status code.
        outcome: What is known of the request's effect.
        retryable: Whether the router itself may attempt a repeatable request again.
        remedy: What the caller can do, one sentence.
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
    ErrorKind.GRANT_REFUSED: _not_run(503, _RETRY_REMEDY, retryable=True),
    ErrorKind.PEER_UNREACHABLE: _not_run(503, _RETRY_REMEDY, retryable=True),
    ErrorKind.PEER_LOST: _unknown(502, _CHECK_REMEDY),
    ErrorKind.UPSTREAM_LOST: _unknown(502, _CHECK_REMEDY),
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
    """Return what a caller is told for ``kind``."""
    return ERROR_RESPONSES[kind]


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Refusal:
    """One request's failure, as passed between the parts in a ``returns`` Failure.

    Attributes:
        kind: Why the request failed.
        detail: What happened, for the log and the answer's body.
        retry_after_s: Seconds after which the caller may ask again, if it helps.
        key_token: Token with which the caller can state that its next attempt under
            an idempotency key is the first one; empty if that would not help.
    """

    kind: ErrorKind
    detail: str = ""
    retry_after_s: float | None = None
    key_token: str = ""


class PapayatackError(Exception):
    """Base of all exceptions that papayatack raises."""


class SettingsError(PapayatackError):
    """Settings are not usable; the message names section, key and remedy."""


class InventoryError(PapayatackError):
    """An inventory or its rules are not usable.

    Attributes:
        faults: One sentence each, with its place in the document and the remedy.
    """

    def __init__(self, *faults: str) -> None:
        super().__init__("\n".join(faults))
        self.faults = faults


class ConfigConflictError(PapayatackError):
    """A publication lost the race against another; publish from the new version."""


class LogUnavailableError(PapayatackError):
    """The platform's log service cannot be reached; try again when it is back."""
