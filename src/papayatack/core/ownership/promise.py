"""State that a witness keeps of one lease: promise expiry, floor and fence.

A witness neither elects an owner nor recovers state. It only refuses to fence the
lease, and so to admit a successor, before its promise to the holder has expired.
"""

import dataclasses

__all__ = [
    "Promise",
    "fence_promise",
    "make_permanent",
    "start_promise",
    "renew_promise",
]


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Promise:
    """A witness's promise not to fence a lease before a certain time.

    Attributes:
        expires_s: Time on the witness's clock before which it does not fence the lease.
        is_permanent: Whether it never fences the lease, whoever asks. The holder no
            longer tells it its floor.
        floor: Highest floor that the holder has reported.
        fenced: Whether the lease is fenced, which is permanent.
        drained: Whether the holder had finished its requests and itself asked for the
            fence.
    """

    expires_s: float
    floor: int = 0
    fenced: bool = False
    drained: bool = False
    is_permanent: bool = False


def start_promise(*, now: float, duration_s: float) -> Promise:
    """Return the initial promise, made before the holder's first renewal."""
    return Promise(expires_s=now + duration_s)


def renew_promise(
    promise: Promise, *, now: float, duration_s: float, floor: int
) -> Promise:
    """Return the promise after a renewal. A fenced lease is never promised again."""
    if promise.fenced:
        return promise
    return dataclasses.replace(
        promise,
        expires_s=max(promise.expires_s, now + duration_s),
        floor=max(promise.floor, floor),
    )


def make_permanent(promise: Promise) -> Promise:
    """Return the promise of a witness that shuts down, which never fences.

    The witness keeps nothing after its end, so that nobody can break the promise.
    """
    return dataclasses.replace(promise, is_permanent=True)


def fence_promise(promise: Promise, *, now: float, resigned: bool = False) -> Promise:
    """Return the promise after a request to fence the lease.

    Args:
        promise: Current promise.
        now: Time on the witness's clock, in seconds.
        resigned: Whether the request comes from the holder itself, which has stopped
            serving for good. The promise need not have expired then.
    """
    if promise.fenced or promise.is_permanent:
        return promise
    if now < promise.expires_s and not resigned:
        return promise
    return dataclasses.replace(promise, fenced=True, drained=resigned)
