"""Rules of leases, fences and moves for one shard.

A state holds the log, how far each node has applied it, and for each lease what its
witnesses keep. Time is abstract: a promise and the view that rests on it last until
the next *tick*. A node that is frozen, cut off or lost takes no steps, so that no
step stands for a loss, but where something depends on it. What witnesses have fenced
and the floors they then keep never change again, so a claimant may read them late; it
is modelled as reading them at the moment when it claims. Requests in flight are
covered by taking *applied* as "applied, and drained of what it took away".
"""

import functools
from collections.abc import Iterator
from typing import NamedTuple

from spec.guards import ALL_GUARDS, Guards

__all__ = [
    "Chain",
    "Lease",
    "Record",
    "Setting",
    "State",
    "Witness",
    "can_claim",
    "fold_log",
    "is_serving",
    "list_steps",
    "make_initial",
]

TOKENS_PER_EPOCH = 10


class Record(NamedTuple):
    """A record of the ownership stream.

    Attributes:
        kind: ``move``, ``activate`` or ``end``.
        epoch: Epoch that a move makes or an activation names.
        lease: Lease that a record ends or that activates; -1 otherwise.
        floor: Floor that the record of an end names.
    """

    kind: str
    epoch: int = 0
    lease: int = -1
    floor: int = 0


class Chain(NamedTuple):
    """Holders of the shard in their order.

    Attributes:
        epoch: Counts the chains, from 1.
        since: Number of records that a node has applied once it knows the chain.
        leases: Owner first.
    """

    epoch: int
    since: int
    leases: tuple[int, ...]


class Folded(NamedTuple):
    """What the applied records say."""

    chains: tuple[Chain, ...]
    ended: tuple[int, ...]


class Witness(NamedTuple):
    """What one witness keeps of a lease, and what the holder makes of it.

    Attributes:
        promise: Ticks until the promise runs out.
        view: Ticks for which the holder counts on the promise.
        floor: Highest position that the holder has told.
        fenced: Whether the lease is fenced here.
        lost: The witness's process has ended.
        departed: The witness has left with a promise that does not run out. It never
            fences, so that the holder counts as its floor what it would have told.
    """

    promise: int = 0
    view: int = 0
    floor: int = 0
    fenced: bool = False
    lost: bool = False
    departed: bool = False


class Lease(NamedTuple):
    """One lease.

    Attributes:
        witnesses: In a sorted order, since they are alike.
        cleared: Epoch for which the holder's claim was found clear, 0 for none.
        resigned: The holder has stopped to serve under it for good.
        word: Floor that the holder told others when it resigned.
    """

    witnesses: tuple[Witness, ...]
    cleared: int = 0
    resigned: bool = False
    word: int = 0


class State(NamedTuple):
    """A state of the model.

    Attributes:
        log: Records so far.
        applied: Number of records that each node has applied.
        dead: Whether each node's process has ended.
        leases: All leases.
        top: Highest fencing token under which the shard was ever served.
    """

    log: tuple[Record, ...]
    applied: tuple[int, ...]
    dead: tuple[bool, ...]
    leases: tuple[Lease, ...]
    top: int


class Setting(NamedTuple):
    """What a model explores.

    Attributes:
        chains: The first chain and those of the moves, as indices of leases.
        nodes: The node of each lease.
        witnesses: Number of witnesses of each lease; a lease without any never lapses.
        guards: The guards in force.
        activations: Whether owners activate their chains.
        resigning: Leases whose holders may resign.
        mortal: Nodes whose process may end.
        superseding: Whether ended processes are superseded in the log.
        recording: Whether fences are recorded in the log.
        losing: Leases of which one witness may be lost.
        departing: Leases whose witnesses may leave as planned.
        orphaning: Leases of which all witnesses may be lost, and whose end may be
            recorded in the log then.
        untold: What an ended process had not told is lost with it; for progress. Where
            safety is at stake a claimant may have learned it before.
    """

    chains: tuple[tuple[int, ...], ...]
    nodes: tuple[int, ...]
    witnesses: tuple[int, ...]
    guards: Guards = ALL_GUARDS
    activations: bool = False
    resigning: tuple[int, ...] = ()
    mortal: tuple[int, ...] = ()
    superseding: bool = False
    recording: bool = False
    losing: tuple[int, ...] = ()
    departing: tuple[int, ...] = ()
    orphaning: tuple[int, ...] = ()
    untold: bool = False


Step = tuple[str, State]


def make_initial(setting: Setting) -> State:
    """Return the state in which the first chain's owner serves."""
    leases = [Lease((Witness(),) * count) for count in setting.witnesses]
    owner = setting.chains[0][0]
    leases[owner] = leases[owner]._replace(cleared=1)
    nodes = max(setting.nodes) + 1
    return State(
        log=(Record("move", 1),),
        applied=(1,) * nodes,
        dead=(False,) * nodes,
        leases=tuple(leases),
        top=make_token(1, 0),
    )


def make_token(epoch: int, place: int) -> int:
    """Return the fencing token of the holder at a place of a chain."""
    return epoch * TOKENS_PER_EPOCH + place


# The log.


@functools.cache
def fold_log(
    chains: tuple[tuple[int, ...], ...], versioned: bool, log: tuple[Record, ...]
) -> Folded:
    """Return the chains that are not cleared, the newest last, and ended leases."""
    known: list[Chain] = []
    ended: list[int] = []
    for position, record in enumerate(log, start=1):
        if record.kind == "move":
            leases = chains[record.epoch - 1]
            known.append(Chain(record.epoch, position, leases))
        elif record.kind == "end":
            ended.append(record.lease)
        elif record.epoch == known[-1].epoch or not versioned:
            known = known[-1:]
    return Folded(tuple(known), tuple(ended))


def fold_applied(setting: Setting, state: State, node: int) -> Folded:
    """Return what a node knows."""
    log = state.log[: state.applied[node]]
    return fold_log(setting.chains, setting.guards.activation_version, log)


# Leases.


def count_promises(setting: Setting, witnesses: int) -> int:
    """Return how many witnesses must promise before the holder serves."""
    if not setting.guards.promise_majority:
        return min(witnesses, 1)
    return (witnesses + 1) // 2


def count_fences(setting: Setting, witnesses: int) -> int:
    """Return how many witnesses must have fenced a lease before it has ended."""
    if not setting.guards.fence_majority:
        return 1
    return witnesses // 2 + 1


def is_live(setting: Setting, state: State, lease: int) -> bool:
    """Tell whether the holder may act under its lease."""
    entry = state.leases[lease]
    if state.dead[setting.nodes[lease]]:
        return False
    needed = count_promises(setting, len(entry.witnesses))
    views = [witness.view > 0 for witness in entry.witnesses]
    if entry.witnesses and setting.guards.live_promise and not any(views):
        return False
    promised = (
        view or w.departed for view, w in zip(views, entry.witnesses, strict=True)
    )
    return sum(promised) >= needed


def find_confirmed(setting: Setting, floors: list[int], witnesses: int) -> int:
    """Return the floor that enough witnesses keep: every later fence tells it."""
    needed = (witnesses + 1) // 2 if setting.guards.floor_at_majority else 1
    if not needed or len(floors) < needed:
        return 0
    return sorted(floors, reverse=True)[needed - 1]


class End(NamedTuple):
    """A proof that a lease has ended.

    Attributes:
        floor: Position that a claimant must have applied.
        confirmed: Floor that the holder had at enough witnesses, as far as it is known.
    """

    floor: int
    confirmed: int


def list_ends(
    setting: Setting, state: State, known: Folded, lease: int, claimant: int
) -> list[End]:
    """Return the proofs by which a claimant may know that a lease has ended."""
    ends = []
    entry = state.leases[lease]
    count = len(entry.witnesses)
    if lease in known.ended:
        ends.append(End(floor=0, confirmed=0))
    if entry.resigned and setting.nodes[lease] == setting.nodes[claimant]:
        floors = [witness.floor for witness in entry.witnesses]
        ends.append(End(floor=0, confirmed=find_confirmed(setting, floors, count)))
    elif entry.resigned:
        ends.append(End(floor=entry.word, confirmed=0))
    floors = sorted(witness.floor for witness in entry.witnesses if witness.fenced)
    needed = count_fences(setting, count)
    if len(floors) >= needed:
        confirmed = find_confirmed(setting, floors, count)
        ends.append(End(floor=floors[needed - 1], confirmed=confirmed))
    return ends


def has_released(setting: Setting, state: State, lease: int, since: int) -> bool:
    """Tell whether a holder has told that it does not serve below ``since``."""
    node = setting.nodes[lease]
    if setting.untold and state.dead[node]:
        return False
    if setting.guards.stay_unreleased and _serves_below(setting, state, node, since):
        return False
    witnesses = state.leases[lease].witnesses
    if not witnesses or not setting.guards.floor_before_release:
        return state.applied[node] >= since
    needed = (len(witnesses) + 1) // 2
    return sum(witness.floor >= since for witness in witnesses) >= needed


def _serves_below(setting: Setting, state: State, node: int, since: int) -> bool:
    """Tell whether a node has a claim to a chain older than the one at ``since``."""
    if state.dead[node] or not setting.guards.claim_per_epoch:
        return False
    epochs = (
        entry.cleared
        for lease, entry in enumerate(state.leases)
        if setting.nodes[lease] == node and entry.cleared and not entry.resigned
    )
    return any(_find_since(state, epoch) < since for epoch in epochs)


def _find_since(state: State, epoch: int) -> int:
    """Return the position right after the record of a move."""
    return state.log.index(Record("move", epoch)) + 1


# Claims.


def can_claim(
    setting: Setting,
    state: State,
    lease: int,
    *,
    own_floor: bool = True,
    own_leases: bool = False,
) -> bool:
    """Tell whether nobody stands between a holder and the shard.

    With ``own_floor`` false, whether nobody *else* does: enough of its own witnesses
    may still have to learn that it has applied the move. With ``own_leases``, older
    leases of its node may still stand in the way.
    """
    known = fold_applied(setting, state, setting.nodes[lease])
    current = known.chains[-1]
    if lease not in current.leases:
        return False
    pairs = list(zip(known.chains, known.chains[1:], strict=False))
    if not setting.guards.every_chain:
        pairs = pairs[-1:]
    for chain, successor in pairs:
        if not _is_walked(
            setting, state, known, chain, successor.since, lease, own_floor, own_leases
        ):
            return False
    place = current.leases.index(lease)
    first = 0 if setting.guards.predecessors else max(place - 1, 0)
    return all(
        _list_applied_ends(setting, state, known, predecessor, lease)
        for predecessor in current.leases[first:place]
    )


def _is_walked(
    setting: Setting,
    state: State,
    known: Folded,
    chain: Chain,
    since: int,
    claimant: int,
    own_floor: bool,
    own_leases: bool,
) -> bool:
    """Tell whether nobody serves, or ever will, under an old chain."""
    for holder in chain.leases:
        if _is_own(setting, holder, claimant):
            return not own_floor or _is_own_floor_known(setting, state, claimant, since)
        if has_released(setting, state, holder, since):
            return True
        ends = _list_applied_ends(setting, state, known, holder, claimant)
        if not ends:
            return own_leases and setting.nodes[holder] == setting.nodes[claimant]
        if any(end.confirmed >= since for end in ends):
            return True
        if not setting.guards.whole_chain:
            return True
    return True


def _is_own_floor_known(setting: Setting, state: State, lease: int, since: int) -> bool:
    """Tell whether later holders of an old chain would learn of the move."""
    witnesses = state.leases[lease].witnesses
    if not witnesses or not setting.guards.own_floor:
        return True
    floors = [witness.floor for witness in witnesses]
    return find_confirmed(setting, floors, len(witnesses)) >= since


def _is_own(setting: Setting, holder: int, claimant: int) -> bool:
    if setting.guards.lease_not_node:
        return holder == claimant
    return setting.nodes[holder] == setting.nodes[claimant]


def _list_applied_ends(
    setting: Setting, state: State, known: Folded, lease: int, claimant: int
) -> list[End]:
    """Return the proofs whose floor the claimant has applied."""
    ends = list_ends(setting, state, known, lease, claimant)
    applied = state.applied[setting.nodes[claimant]]
    return [end for end in ends if applied >= end.floor or not setting.guards.floor]


def may_stay(setting: Setting, state: State, lease: int) -> bool:
    """Tell whether a holder goes on under an old chain for its node's newer lease.

    That one is in the chain, and nobody but older leases of the node stands in its way:
    the keys are not taken from the node, only its lease is renewed.
    """
    node = setting.nodes[lease]
    current = fold_applied(setting, state, node).chains[-1]
    newer = [other for other in current.leases if setting.nodes[other] == node]
    return bool(newer) and can_claim(
        setting, state, newer[0], own_floor=False, own_leases=True
    )


def find_token(setting: Setting, state: State, lease: int) -> int | None:
    """Return the fencing token under which a holder serves now, if it does.

    After a move that leaves it the shard, it serves under the old token until its
    claim to the new chain is clear; so does a node whose newer lease has taken the
    place of this one.
    """
    entry = state.leases[lease]
    if not entry.cleared or not is_live(setting, state, lease):
        return None
    if entry.resigned and setting.guards.drain_before_resign:
        return None
    node = setting.nodes[lease]
    known = fold_applied(setting, state, node)
    current = known.chains[-1]
    if lease not in current.leases and not may_stay(setting, state, lease):
        return None
    if entry.cleared == current.epoch or not setting.guards.claim_per_epoch:
        return make_token(current.epoch, current.leases.index(lease))
    for chain in known.chains:
        if chain.epoch == entry.cleared and _goes_on(setting, state, current, lease):
            return make_token(chain.epoch, chain.leases.index(lease))
    return None


def _goes_on(setting: Setting, state: State, current: Chain, lease: int) -> bool:
    """Tell whether a holder keeps its claim to an old chain for a while."""
    if lease in current.leases:
        return can_claim(setting, state, lease, own_floor=False)
    return may_stay(setting, state, lease)


def is_serving(setting: Setting, state: State, lease: int) -> bool:
    """Tell whether a holder serves the shard now."""
    return find_token(setting, state, lease) is not None


# Steps.


def list_steps(setting: Setting, state: State) -> list[Step]:
    """Return every step that may be taken, with the state after it."""
    steps = list(_list_log_steps(setting, state))
    steps.extend(_list_node_steps(setting, state))
    steps.append(("tick", tick(state)))
    for lease in range(len(state.leases)):
        steps.extend(_list_witness_steps(setting, state, lease))
        steps.extend(_list_holder_steps(setting, state, lease))
    return steps


def tick(state: State) -> State:
    """Let time pass: every promise and view is one tick shorter."""
    return state._replace(leases=tuple(_tick_lease(lease) for lease in state.leases))


@functools.cache
def _tick_lease(lease: Lease) -> Lease:
    witnesses = (_tick_witness(witness) for witness in lease.witnesses)
    return lease._replace(witnesses=tuple(sorted(witnesses)))


def _tick_witness(witness: Witness) -> Witness:
    """Return what a witness keeps one tick later; a departed one's promise lasts."""
    promise = witness.promise if witness.departed else max(witness.promise - 1, 0)
    return witness._replace(promise=promise, view=max(witness.view - 1, 0))


def _list_log_steps(setting: Setting, state: State) -> Iterator[Step]:
    moves = sum(record.kind == "move" for record in state.log)
    if moves < len(setting.chains):
        yield f"move {moves + 1}", _append(state, Record("move", moves + 1))
    for lease in range(len(state.leases)):
        if not any(_ends(record, lease) for record in state.log):
            yield from _list_end_records(setting, state, lease)


def _list_end_records(setting: Setting, state: State, lease: int) -> Iterator[Step]:
    node = setting.nodes[lease]
    may_supersede = state.dead[node] or (
        not setting.guards.death_before_supersession and node in setting.mortal
    )
    if setting.superseding and may_supersede:
        record = Record("end", lease=lease, floor=len(state.log))
        yield f"supersede {lease}", _append(state, record)
    witnesses = state.leases[lease].witnesses
    floors = [witness.floor for witness in witnesses if witness.fenced]
    if setting.recording and len(floors) >= count_fences(setting, len(witnesses)):
        record = Record("end", lease=lease, floor=max(floors))
        yield f"record {lease}", _append(state, record)
    if lease in setting.orphaning and _is_orphaned(setting, witnesses):
        record = Record("end", lease=lease, floor=len(state.log))
        yield f"orphan {lease}", _append(state, record)


def _is_orphaned(setting: Setting, witnesses: tuple[Witness, ...]) -> bool:
    """Tell whether no witness promises any more, for so long that no view is left."""
    waited = not any(witness.view for witness in witnesses)
    gone = all(w.lost or w.departed or w.fenced for w in witnesses)
    return gone and (waited or not setting.guards.orphan_wait)


def _append(state: State, record: Record) -> State:
    return state._replace(log=(*state.log, record))


def _list_node_steps(setting: Setting, state: State) -> Iterator[Step]:
    for node, applied in enumerate(state.applied):
        if state.dead[node]:
            continue
        if applied < len(state.log):
            after = state._replace(applied=_put(state.applied, node, applied + 1))
            yield f"apply {node}", _stop_taken(setting, after, node)
        if node in setting.mortal:
            yield f"die {node}", state._replace(dead=_put(state.dead, node, True))


def _stop_taken(setting: Setting, state: State, node: int) -> State:
    """Return the state after a node has stopped to serve what was taken away.

    While only its own floor is missing for the new chain, or the chain names a newer
    lease of the node, it goes on as before.
    """
    current = fold_applied(setting, state, node).chains[-1]
    leases = list(state.leases)
    for lease, entry in enumerate(leases):
        if setting.nodes[lease] != node or not entry.cleared:
            continue
        if entry.cleared == current.epoch or not setting.guards.claim_per_epoch:
            continue
        if _goes_on(setting, state, current, lease):
            continue
        leases[lease] = entry._replace(cleared=0)
    return state._replace(leases=tuple(leases))


def _list_holder_steps(setting: Setting, state: State, lease: int) -> Iterator[Step]:
    entry = state.leases[lease]
    if state.dead[setting.nodes[lease]]:
        return
    if lease in setting.resigning and not entry.resigned:
        yield f"resign {lease}", resign(setting, state, lease)
    if entry.resigned:
        return
    if entry.cleared and not _is_current(setting, state, lease):
        yield f"yield {lease}", _set(state, lease, entry._replace(cleared=0))
    current = fold_applied(setting, state, setting.nodes[lease]).chains[-1]
    if (
        entry.cleared != current.epoch
        and is_live(setting, state, lease)
        and can_claim(setting, state, lease)
    ):
        after = _set(state, lease, entry._replace(cleared=current.epoch))
        yield f"claim {lease}", _note_token(setting, after, lease)
    record = Record("activate", current.epoch, lease)
    if (
        setting.activations
        and state.leases[lease].cleared == current.epoch
        and record not in state.log
        and is_serving(setting, state, lease)
    ):
        yield f"activate {lease}", _append(state, record)


def _is_current(setting: Setting, state: State, lease: int) -> bool:
    """Tell whether a holder stands in the newest chain that its node knows."""
    node = setting.nodes[lease]
    return lease in fold_applied(setting, state, node).chains[-1].leases


def resign(setting: Setting, state: State, lease: int) -> State:
    """Return the state after a holder has stopped for good and told so."""
    entry = state.leases[lease]
    word = state.applied[setting.nodes[lease]]
    if not setting.guards.word_floor:
        word = 0
    return _set(state, lease, entry._replace(resigned=True, word=word))


def _list_witness_steps(setting: Setting, state: State, lease: int) -> Iterator[Step]:
    entry = state.leases[lease]
    may_lose = lease in setting.orphaning or (
        lease in setting.losing and not any(witness.lost for witness in entry.witnesses)
    )
    for index, witness in enumerate(entry.witnesses):
        if index and witness == entry.witnesses[index - 1]:
            continue
        if witness.lost:
            continue
        name = f"{lease}/{index}"
        if may_renew(setting, state, lease, witness):
            after = renew(setting, state, lease, index)
            yield f"renew {name}", _note_token(setting, after, lease)
        if may_fence(setting, entry, witness):
            yield f"fence {name}", fence(state, lease, index)
        if lease in setting.departing and may_depart(setting, state, lease, witness):
            yield f"depart {name}", depart(setting, state, lease, index)
        if may_learn(setting, state, lease, witness):
            yield f"learn {name}", learn_end(setting, state, lease, index)
        if may_lose and not witness.departed:
            yield f"lose {name}", lose(setting, state, lease, index)


def may_renew(setting: Setting, state: State, lease: int, witness: Witness) -> bool:
    """Tell whether the holder asks and the witness promises."""
    entry = state.leases[lease]
    node = setting.nodes[lease]
    if state.dead[node] or entry.resigned:
        return False
    if lease in fold_applied(setting, state, node).ended:
        return False
    return not (witness.fenced and setting.guards.permanence)


def may_depart(setting: Setting, state: State, lease: int, witness: Witness) -> bool:
    """Tell whether the witness may leave and promise for good."""
    return not witness.departed and may_renew(setting, state, lease, witness)


def may_learn(setting: Setting, state: State, lease: int, witness: Witness) -> bool:
    """Tell whether the witness may learn of the lease's end from the log."""
    if witness.departed and setting.guards.departed_promise:
        return False
    return any(_ends(record, lease) for record in state.log)


def may_fence(setting: Setting, entry: Lease, witness: Witness) -> bool:
    """Tell whether the witness grants a fence."""
    if witness.fenced:
        return False
    if witness.departed:
        return not setting.guards.departed_promise
    expired = witness.promise == 0 or not setting.guards.promise_expiry
    return expired or entry.resigned


def renew(setting: Setting, state: State, lease: int, index: int) -> State:
    """Return the state after a witness has promised again and told so."""
    applied = state.applied[setting.nodes[lease]]
    witness = state.leases[lease].witnesses[index]
    state = _tell_departed(state, lease, applied)
    if witness.departed:
        return state
    after = Witness(
        promise=1,
        view=1 if setting.guards.view_before_promise else 2,
        floor=max(witness.floor, applied),
    )
    return _set_witness(state, lease, index, after)


def _tell_departed(state: State, lease: int, applied: int) -> State:
    """Return the state after a renewal, whose floor counts for departed witnesses."""
    entry = state.leases[lease]
    witnesses = tuple(
        witness._replace(floor=max(witness.floor, applied))
        if witness.departed
        else witness
        for witness in entry.witnesses
    )
    return _set(state, lease, entry._replace(witnesses=witnesses))


def depart(setting: Setting, state: State, lease: int, index: int) -> State:
    """Return the state after a witness has promised for good and left."""
    applied = state.applied[setting.nodes[lease]]
    witness = state.leases[lease].witnesses[index]
    floor = max(witness.floor, applied)
    after = Witness(promise=1, view=witness.view, floor=floor, departed=True)
    return _set_witness(_tell_departed(state, lease, applied), lease, index, after)


def fence(state: State, lease: int, index: int) -> State:
    """Return the state after a witness has fenced a lease."""
    witness = state.leases[lease].witnesses[index]
    after = witness._replace(fenced=True, promise=0)
    return _set_witness(state, lease, index, after)


def _ends(record: Record, lease: int) -> bool:
    return record.kind == "end" and record.lease == lease


def learn_end(setting: Setting, state: State, lease: int, index: int) -> State:
    """Return the state after a witness has learned of a lease's end from the log."""
    (record,) = (record for record in state.log if _ends(record, lease))
    witness = state.leases[lease].witnesses[index]
    floor = witness.floor
    if not setting.guards.mark_keeps_floor:
        floor = max(floor, record.floor)
    after = witness._replace(fenced=True, promise=0, floor=floor)
    return _set_witness(state, lease, index, after)


def lose(setting: Setting, state: State, lease: int, index: int) -> State:
    """Return the state after a witness's process has ended and begun anew."""
    witness = state.leases[lease].witnesses[index]
    after = witness._replace(promise=0, lost=True)
    if setting.untold:
        after = Witness(view=witness.view, lost=True)
    if not setting.guards.incarnation:
        after = Witness(view=witness.view)
    return _set_witness(state, lease, index, after)


def _set_witness(state: State, lease: int, index: int, witness: Witness) -> State:
    entry = state.leases[lease]
    witnesses = tuple(sorted(_put(entry.witnesses, index, witness)))
    return _set(state, lease, entry._replace(witnesses=witnesses))


def _set(state: State, lease: int, entry: Lease) -> State:
    return state._replace(leases=_put(state.leases, lease, entry))


def _note_token(setting: Setting, state: State, lease: int) -> State:
    token = find_token(setting, state, lease)
    if token is None or token <= state.top:
        return state
    return state._replace(top=token)


def _put(values: tuple, index: int, value: object) -> tuple:
    return (*values[:index], value, *values[index + 1 :])
