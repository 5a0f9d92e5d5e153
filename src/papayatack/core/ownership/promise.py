"""What a witness keeps of one lease: promise expiry, floor and fence.

A witness chooses nothing and recovers nothing: it only keeps its word not to let a
successor in before the promise to the holder has run out.
"""

import dataclasses

__all__ = ["Promise", "fence_promise", "start_promise", "renew_promise"]


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Promise:
    """A witness's word for one lease.

    Attributes:
        expires_s: The lease is not fenced before this time of the witness's clock.
        floor: Highest floor that the holder has told.
        fenced: The lease is fenced, for good.
        drained: The holder had finished its requests and asked for the fence itself.
    """

    expires_s: float
    floor: int = 0
    fenced: bool = False
    drained: bool = False


def start_promise(*, now: float, duration_s: float) -> Promise:
    """Return the promise of a lease whose holder was not heard yet."""
    return Promise(expires_s=now + duration_s)


def renew_promise(
    promise: Promise, *, now: float, duration_s: float, floor: int
) -> Promise:
    """Return the promise after a renewal; a fenced lease is never promised again."""
    if promise.fenced:
        return promise
    return dataclasses.replace(
        promise,
        expires_s=max(promise.expires_s, now + duration_s),
        floor=max(promise.floor, floor),
    )


def fence_promise(promise: Promise, *, now: float, resigned: bool = False) -> Promise:
    """Return the promise after a request to fence the lease.

    Args:
        promise: The promise so far.
        now: Time of the witness's clock.
        resigned: The holder itself asks, after it has stopped for good.
    """
    if promise.fenced or (now < promise.expires_s and not resigned):
        return promise
    return dataclasses.replace(promise, fenced=True, drained=resigned)
