"""One lease with messages in flight and clocks of different rates.

The owner A renews in rounds. Every message that was sent stays in flight for good, so
that it may arrive late, twice, out of order or never. A promise lasts
``PROMISE_TICKS`` of the witness's clock. The holder's clock may miss one tick in any
``PROMISE_TICKS``; the view is shorter by that margin and counts from when the renewal
was sent. B follows A in the chain; a move gives the shard to C. B and C hold leases
that never lapse, since only the messages of A's lease are of interest here.
"""

import functools
from collections.abc import Iterator, Mapping
from typing import Any, NamedTuple

import minicheck

from spec.guards import ALL_GUARDS, Guards

__all__ = [
    "LARGE_MESSAGE_MODELS",
    "MESSAGE_MODELS",
    "MessageSetting",
    "build_message_protocol",
]

PROMISE_TICKS = 3
MARGIN_TICKS = 1
TOKEN_A, TOKEN_B, TOKEN_C = 10, 11, 20


class Round(NamedTuple):
    """A renewal that was sent.

    Attributes:
        age: Ticks of the holder's clock since then, at most ``PROMISE_TICKS``.
        floor: 1 if it tells that the holder has applied the move, and drained.
    """

    age: int
    floor: int


class Witness(NamedTuple):
    """A witness, the replies that it sent, and what the holder took in of them.

    Attributes:
        promise: Ticks until the promise runs out.
        view: Ticks for which the holder counts on it.
        floor: Floor that the witness keeps.
        fenced: Whether the lease is fenced here.
        replies: Rounds that were answered.
        known_floor: Floor that the holder knows to be kept here.
    """

    promise: int = 0
    view: int = 0
    floor: int = 0
    fenced: bool = False
    replies: tuple[int, ...] = ()
    known_floor: int = 0


class State(NamedTuple):
    """A state of the model.

    Attributes:
        rounds: Renewals sent so far.
        witnesses: In a sorted order, since they are alike.
        steady: Ticks since the holder's clock last missed one.
        a_moved: A has applied the move.
        a_resigned: A has drained and ended its lease itself.
        a_word: Floor that A told B then.
        a_released: A has told C that it released the shard.
        b_moved: B has applied the move.
        b_cleared: B's claim was found clear before that.
        c_cleared: C's claim was found clear.
        top: Highest fencing token under which the shard was ever served.
    """

    rounds: tuple[Round, ...]
    witnesses: tuple[Witness, ...]
    steady: int = PROMISE_TICKS
    a_moved: bool = False
    a_resigned: bool = False
    a_word: int = 0
    a_released: bool = False
    b_moved: bool = False
    b_cleared: bool = False
    c_cleared: bool = False
    top: int = TOKEN_A


class MessageSetting(NamedTuple):
    """What a model explores.

    Attributes:
        witnesses: Number of witnesses.
        rounds: Number of renewals.
        guards: The guards in force.
    """

    witnesses: int
    rounds: int
    guards: Guards = ALL_GUARDS


MESSAGE_MODELS: Mapping[str, MessageSetting] = {
    "messages": MessageSetting(witnesses=1, rounds=2),
}

LARGE_MESSAGE_MODELS: Mapping[str, MessageSetting] = {
    "messages-three-rounds": MessageSetting(witnesses=1, rounds=3),
    "messages-two-witnesses": MessageSetting(witnesses=2, rounds=2),
}
"""Explored by ``python -m spec`` only, for the time that they take."""

Step = tuple[str, State]


def count_promises(setting: MessageSetting) -> int:
    """Return how many witnesses must promise before the holder serves."""
    return (setting.witnesses + 1) // 2


def count_fences(setting: MessageSetting) -> int:
    """Return how many witnesses must have fenced the lease before it has ended."""
    return setting.witnesses // 2 + 1


def list_tokens(setting: MessageSetting, state: State) -> list[int]:
    """Return the tokens under which the shard is served now."""
    tokens = []
    views = sum(witness.view > 0 for witness in state.witnesses)
    a_stopped = state.a_moved or state.a_resigned
    if views >= count_promises(setting) and not a_stopped:
        tokens.append(TOKEN_A)
    if state.b_cleared and not state.b_moved:
        tokens.append(TOKEN_B)
    if state.c_cleared:
        tokens.append(TOKEN_C)
    return tokens


def list_steps(setting: MessageSetting, state: State) -> list[Step]:
    """Return every step that may be taken, with the state after it."""
    steps = [("tick", _tick(state, missed=False))]
    if state.steady >= PROMISE_TICKS:
        steps.append(("missed tick", _tick(state, missed=True)))
    steps.extend(_list_holder_steps(setting, state))
    steps.extend(_list_claim_steps(setting, state))
    for index in range(len(state.witnesses)):
        steps.extend(_list_witness_steps(setting, state, index))
    return steps


def _tick(state: State, *, missed: bool) -> State:
    elapsed = 0 if missed else 1
    rounds = tuple(
        item._replace(age=min(item.age + elapsed, PROMISE_TICKS))
        for item in state.rounds
    )
    witnesses = tuple(
        witness._replace(
            promise=max(witness.promise - 1, 0), view=max(witness.view - elapsed, 0)
        )
        for witness in state.witnesses
    )
    steady = 0 if missed else min(state.steady + 1, PROMISE_TICKS)
    return state._replace(
        rounds=rounds, witnesses=tuple(sorted(witnesses)), steady=steady
    )


def _list_holder_steps(setting: MessageSetting, state: State) -> Iterator[Step]:
    told = sum(witness.known_floor for witness in state.witnesses)
    if len(state.rounds) < setting.rounds and not state.a_resigned:
        sent = Round(age=0, floor=int(state.a_moved))
        yield "send", state._replace(rounds=(*state.rounds, sent))
    if not state.a_moved:
        yield "A applies", state._replace(a_moved=True)
    if not state.a_resigned:
        word = int(state.a_moved)
        if not setting.guards.word_floor:
            word = int(told >= count_promises(setting))
        yield "A resigns", state._replace(a_resigned=True, a_word=word)
    if not setting.guards.floor_before_release:
        told = count_promises(setting)
    if state.a_moved and not state.a_released and told >= count_promises(setting):
        yield "A releases", state._replace(a_released=True)


def _list_claim_steps(setting: MessageSetting, state: State) -> Iterator[Step]:
    floors = sorted(witness.floor for witness in state.witnesses if witness.fenced)
    ended = len(floors) >= count_fences(setting)
    if not state.b_moved:
        yield "B applies", state._replace(b_moved=True)
        known = [floors[count_fences(setting) - 1]] if ended else []
        if state.a_resigned:
            known.append(state.a_word)
        clear = 0 in known or (known and not setting.guards.floor)
        if clear and not state.b_cleared:
            after = state._replace(b_cleared=True, top=max(state.top, TOKEN_B))
            yield "B claims", after
    confirmed = ended and sum(floors) >= count_promises(setting)
    ended = ended or state.a_resigned
    walked = state.a_released or confirmed or (ended and state.b_moved)
    if walked and not state.c_cleared:
        yield "C claims", state._replace(c_cleared=True, top=TOKEN_C)


def _list_witness_steps(
    setting: MessageSetting, state: State, index: int
) -> Iterator[Step]:
    witness = state.witnesses[index]
    for number, sent in enumerate(state.rounds):
        if not witness.fenced or not setting.guards.permanence:
            after = _promise(setting, witness, number, sent)
            yield f"deliver {number}/{index}", _set_witness(state, index, after)
        if number in witness.replies:
            after = _accept(setting, witness, sent)
            yield f"accept {number}/{index}", _set_witness(state, index, after)
    expired = witness.promise == 0 or not setting.guards.promise_expiry
    if not witness.fenced and (expired or state.a_resigned):
        after = witness._replace(fenced=True, promise=0)
        yield f"fence {index}", _set_witness(state, index, after)


def _promise(
    setting: MessageSetting, witness: Witness, number: int, sent: Round
) -> Witness:
    floor = sent.floor
    if setting.guards.floor_maximum:
        floor = max(floor, witness.floor)
    return witness._replace(
        promise=PROMISE_TICKS,
        floor=floor,
        fenced=False,
        replies=tuple(sorted({*witness.replies, number})),
    )


def _accept(setting: MessageSetting, witness: Witness, sent: Round) -> Witness:
    view = PROMISE_TICKS
    if setting.guards.clock_margin:
        view -= MARGIN_TICKS
    if setting.guards.view_from_sending:
        view -= sent.age
    return witness._replace(
        view=max(view, witness.view),
        known_floor=max(sent.floor, witness.known_floor),
    )


def _set_witness(state: State, index: int, witness: Witness) -> State:
    witnesses = list(state.witnesses)
    witnesses[index] = witness
    return state._replace(witnesses=tuple(sorted(witnesses)))


def build_message_protocol(name: str, setting: MessageSetting) -> minicheck.Protocol:
    """Return the model of a setting with its invariants and its goal."""

    def has_one_owner(fields: Mapping[str, Any]) -> bool:
        return len(list_tokens(setting, State(**fields))) <= 1

    def has_no_stale_owner(fields: Mapping[str, Any]) -> bool:
        served_by_c = fields["top"] == TOKEN_C
        stale = list_tokens(setting, State(**fields))
        return not served_by_c or TOKEN_A not in stale and TOKEN_B not in stale

    def has_growing_tokens(fields: Mapping[str, Any]) -> bool:
        tokens = list_tokens(setting, State(**fields))
        return all(token >= fields["top"] for token in tokens)

    return minicheck.Protocol(
        name=name,
        candidate=False,
        fields=State._fields,
        initial=State(rounds=(), witnesses=(Witness(),) * setting.witnesses),
        transitions=functools.partial(list_steps, setting),
        invariants={
            "at most one owner": has_one_owner,
            "no stale owner": has_no_stale_owner,
            "growing tokens": has_growing_tokens,
        },
        goal=lambda fields: fields["c_cleared"],
    )
