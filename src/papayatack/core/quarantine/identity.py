"""What makes two requests the same: all that an upstream is asked for, but not the id.

Requests are the same if service, method, host, target, caller, key and body are equal.
They are alike if only caller or key differ. The digest of the first kind is keyed with
the caller, so that no caller can make a request of its own equal to one of another.
"""

import dataclasses
import hashlib

__all__ = [
    "BODY_PREFIX_BYTES",
    "Fingerprints",
    "RequestIdentity",
    "compute_fingerprints",
    "compute_head_digest",
]

BODY_PREFIX_BYTES = 64 * 1024
"""Length of the part of a body that is compared. Longer bodies that begin alike are
taken for the same."""

DIGEST_BYTES = 20


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class RequestIdentity:
    """Attributes of a request, without its body, that are equal in the same requests.

    Attributes:
        service: Name of the service.
        method: HTTP method.
        host: Value of the ``Host`` header field.
        target: Request target, with the query.
        caller: Name of the caller, as far as the router knows it.
        key: Key of the request; empty if there is none.
    """

    service: str
    method: bytes
    host: bytes
    target: bytes
    caller: str
    key: str = ""


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Fingerprints:
    """Digests of a request with its body.

    Attributes:
        broad: Equal for requests that are alike.
        exact: Equal for requests that are the same.
    """

    broad: str
    exact: str


def compute_head_digest(identity: RequestIdentity) -> str:
    """Return the digest of a request without its body, caller and key."""
    parts = (
        identity.service.encode("utf-8", "surrogateescape"),
        identity.method,
        identity.host.lower(),
        identity.target,
    )
    return _compute_digest(parts)


def compute_fingerprints(
    identity: RequestIdentity, prefix: bytes, *, is_whole: bool
) -> Fingerprints:
    """Return the digests of a request.

    Args:
        identity: The request without its body.
        prefix: The first ``BODY_PREFIX_BYTES`` of the body, or all of a shorter one.
        is_whole: Whether the prefix is the whole body.
    """
    head = compute_head_digest(identity).encode()
    ending = b"whole" if is_whole else b"prefix"
    key = identity.key.encode("utf-8", "surrogateescape")
    return Fingerprints(
        broad=_compute_digest((head, prefix, ending)),
        exact=_compute_digest((head, prefix, ending, key), caller=identity.caller),
    )


def _compute_digest(parts: tuple[bytes, ...], *, caller: str = "") -> str:
    """Return a digest keyed with the caller; each part is prefixed with its length."""
    key = caller.encode("utf-8", "surrogateescape")
    if len(key) > hashlib.blake2b.MAX_KEY_SIZE:
        key = hashlib.blake2b(key).digest()
    digest = hashlib.blake2b(key=key, digest_size=DIGEST_BYTES)
    for part in parts:
        digest.update(b"%d:" % len(part))
        digest.update(part)
    return digest.hexdigest()
