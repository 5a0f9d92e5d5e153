"""The guards of the lease protocol, each of which can be taken away."""

import dataclasses

__all__ = ["ALL_GUARDS", "Guards"]


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Guards:
    """Which guards are in force; a mutant of the protocol lacks one.

    Attributes:
        promise_expiry: A witness fences only after its promise has run out.
        view_before_promise: The holder's view ends before the promise behind it.
        promise_majority: The holder serves while a majority has promised, not one.
        fence_majority: A lease has ended when a majority fenced it, not one.
        permanence: A fenced lease is never promised again.
        incarnation: A restarted witness does not answer for its older incarnation.
        floor: A successor applies the log up to the highest floor.
        floor_at_majority: A fenced holder ends the walk of an old chain only if a
            majority of its witnesses knew that it had applied the move.
        floor_before_release: A holder releases only after a majority of its
            witnesses knows that it has applied the move.
        whole_chain: All holders of an old chain are walked, not just the first.
        every_chain: All old chains are walked, not just the newest.
        predecessors: All earlier holders of the own chain must have ended, not just
            the one before.
        claim_per_epoch: A claim is examined again after each move.
        activation_version: An activation is void if a newer move came before it.
        own_floor: A holder of an old chain claims under a new one only once enough
            of its witnesses know that it has applied the move.
        word_floor: A holder that ends its own lease tells all that it ever told a
            witness as its floor, not just what it knows to be kept.
        mark_keeps_floor: A witness that learns of a lease's end from the log keeps
            the floor that the holder told.
        drain_before_resign: A holder stops to serve before it has itself fenced.
        death_before_supersession: Only an ended process is superseded.
        lease_not_node: A node's older lease must end like any other's.
        stay_unreleased: A node that goes on under an older lease of its own has not
            released the shard, whatever its witnesses know.
        floor_maximum: A witness keeps the highest floor, not the last.
        departed_promise: A witness that left never fences, for whatever reason.
        live_promise: A holder needs one promise at least of a witness that stays.
        orphan_wait: The log records the end of a lease without witnesses once no view
            of its holder is left.
        view_from_sending: A view counts from when the renewal was sent.
        clock_margin: A view is shortened by the bound of the clocks' rates.
    """

    promise_expiry: bool = True
    view_before_promise: bool = True
    promise_majority: bool = True
    fence_majority: bool = True
    permanence: bool = True
    incarnation: bool = True
    floor: bool = True
    floor_at_majority: bool = True
    floor_before_release: bool = True
    whole_chain: bool = True
    every_chain: bool = True
    predecessors: bool = True
    claim_per_epoch: bool = True
    activation_version: bool = True
    own_floor: bool = True
    word_floor: bool = True
    mark_keeps_floor: bool = True
    drain_before_resign: bool = True
    death_before_supersession: bool = True
    lease_not_node: bool = True
    stay_unreleased: bool = True
    floor_maximum: bool = True
    departed_promise: bool = True
    live_promise: bool = True
    orphan_wait: bool = True
    view_from_sending: bool = True
    clock_margin: bool = True


ALL_GUARDS = Guards()
