"""The models that are explored, each small enough to be explored whole."""

import functools
from collections.abc import Mapping
from typing import Any

import minicheck

from spec.protocol import (
    TOKENS_PER_EPOCH,
    Setting,
    State,
    find_token,
    fold_log,
    list_steps,
    make_initial,
)

__all__ = ["LARGE_MODELS", "MODELS", "PROGRESS_MODELS", "build_protocol"]

A, B, C, D = range(4)

MODELS: Mapping[str, Setting] = {
    # One move away from an owner with a successor.
    "move": Setting(chains=((A, B), (C,)), nodes=(0, 1, 2), witnesses=(3, 1, 0)),
    # The same with an even number of witnesses.
    "move-two-witnesses": Setting(
        chains=((A, B), (C,)), nodes=(0, 1, 2), witnesses=(2, 2, 0)
    ),
    # Two moves, one on top of the other; the last one back to an old successor.
    "stacked-moves": Setting(
        chains=((A, B), (C,), (B,)), nodes=(0, 1, 2), witnesses=(1, 1, 1)
    ),
    # A move that only replaces the successor.
    "new-successor": Setting(
        chains=((A, B), (A, C)),
        nodes=(0, 1, 2),
        witnesses=(1, 0, 0),
        activations=True,
    ),
    # An activation that clears old chains, and a move that overtakes it.
    "activation": Setting(
        chains=((A, B), (B, C)),
        nodes=(0, 1, 2),
        witnesses=(1, 1, 0),
        activations=True,
    ),
    "late-activation": Setting(
        chains=((A,), (B,), (C,)),
        nodes=(0, 1, 2),
        witnesses=(1, 0, 0),
        activations=True,
    ),
    # Planned stops, with a move at the same time.
    "resignation": Setting(
        chains=((A, B), (B, C)),
        nodes=(0, 1, 2),
        witnesses=(2, 1, 0),
        resigning=(A, B),
    ),
    # A holder ends its lease itself and tells the next one.
    "own-end": Setting(
        chains=((A, B), (C,)), nodes=(0, 1, 2), witnesses=(3, 0, 0), resigning=(A,)
    ),
    # Fences are recorded in the log, and witnesses learn of them there.
    "fence-record": Setting(
        chains=((A, B), (C,)), nodes=(0, 1, 2), witnesses=(3, 0, 0), recording=True
    ),
    # Processes that end and are superseded at their address.
    "supersession": Setting(
        chains=((A, B), (C,)),
        nodes=(0, 1, 2),
        witnesses=(1, 1, 0),
        mortal=(0, 1),
        superseding=True,
    ),
    # The owner is admitted anew after a witness was lost: leases A and C are one
    # node's.
    "readmission": Setting(
        chains=((A, B), (C, B)),
        nodes=(0, 1, 0),
        witnesses=(2, 1, 1),
        losing=(A,),
    ),
    # The same, and the older lease may be ended by its holder.
    "readmission-own-end": Setting(
        chains=((A, B), (C, B)),
        nodes=(0, 1, 0),
        witnesses=(1, 1, 1),
        resigning=(A,),
    ),
    # Witnesses of the owner leave as planned, also in a move.
    "departing-witnesses": Setting(
        chains=((A, B), (C,)),
        nodes=(0, 1, 2),
        witnesses=(3, 0, 0),
        resigning=(A,),
        departing=(A,),
    ),
    # All witnesses of the owner leave or are lost, and the log records its end.
    "orphaned-lease": Setting(
        chains=((A, B), (C,)),
        nodes=(0, 1, 2),
        witnesses=(3, 0, 0),
        departing=(A,),
        orphaning=(A,),
    ),
    # A successor loses its own lease while it takes over.
    "takeover": Setting(chains=((A, B, C),), nodes=(0, 1, 2), witnesses=(3, 3, 0)),
    # A chain of three holders, and a move.
    "chain-of-three": Setting(
        chains=((A, B, C), (D,)), nodes=(0, 1, 2, 3), witnesses=(1, 1, 1, 0)
    ),
}

LARGE_MODELS: Mapping[str, Setting] = {
    # Three witnesses for each lease of the old chain.
    "move-large": Setting(chains=((A, B), (C,)), nodes=(0, 1, 2), witnesses=(3, 3, 0)),
    "resignation-large": Setting(
        chains=((A, B), (B, C)),
        nodes=(0, 1, 2),
        witnesses=(3, 1, 0),
        resigning=(A, B),
    ),
    # A lost witness, and an old lease that its holder may end, at the same time.
    "readmission-large": Setting(
        chains=((A, B), (C, B)),
        nodes=(0, 1, 0),
        witnesses=(3, 1, 1),
        losing=(A,),
        resigning=(A,),
    ),
    # Witnesses of an owner and of its successor leave.
    "departing-witnesses-large": Setting(
        chains=((A, B), (C,)),
        nodes=(0, 1, 2),
        witnesses=(3, 3, 0),
        departing=(A, B),
    ),
    # The owner is admitted anew after witnesses have left.
    "departing-witnesses-readmission": Setting(
        chains=((A, B), (C, B)),
        nodes=(0, 1, 0),
        witnesses=(3, 1, 1),
        departing=(A,),
        resigning=(A,),
    ),
    # The lease of an owner loses all its witnesses, that of its successor some.
    "orphaned-leases-large": Setting(
        chains=((A, B), (C,)),
        nodes=(0, 1, 2),
        witnesses=(2, 2, 0),
        departing=(A, B),
        orphaning=(A,),
    ),
    # A successor of a chain of three gets the shard, with activations.
    "new-successor-large": Setting(
        chains=((A, B, C), (B, D)),
        nodes=(0, 1, 2, 3),
        witnesses=(1, 1, 0, 0),
        activations=True,
    ),
}
"""Explored by ``python -m spec`` only, for the time that they take."""

PROGRESS_MODELS: Mapping[str, Setting] = {
    # The owner and one witness of its lease are lost, at any moment.
    "loss": Setting(
        chains=((A, B),),
        nodes=(0, 1),
        witnesses=(3, 0),
        mortal=(0,),
        losing=(A,),
        untold=True,
    ),
    # The old owner is lost at any moment of a move.
    "loss-in-move": Setting(
        chains=((A, B), (C,)),
        nodes=(0, 1, 2),
        witnesses=(3, 0, 0),
        mortal=(0,),
        losing=(A,),
        untold=True,
    ),
    # The old owner resigns, or is lost and superseded, at any moment of a move.
    "stop-in-move": Setting(
        chains=((A, B), (B, C)),
        nodes=(0, 1, 2),
        witnesses=(1, 1, 0),
        resigning=(A,),
        mortal=(0,),
        superseding=True,
        untold=True,
    ),
    # A successor loses its own lease while it takes over.
    "loss-in-takeover": Setting(
        chains=((A, B, C),),
        nodes=(0, 1, 2),
        witnesses=(3, 1, 0),
        mortal=(0, 1),
        losing=(A,),
        untold=True,
    ),
    # One witness has left, and the owner or another one is lost.
    "loss-after-departure": Setting(
        chains=((A, B),),
        nodes=(0, 1),
        witnesses=(3, 0),
        resigning=(A,),
        departing=(A,),
        untold=True,
    ),
    # The owner is admitted anew and its old lease, with a witness lost, must end first.
    "loss-in-readmission": Setting(
        chains=((A, B), (C, B)),
        nodes=(0, 1, 0),
        witnesses=(3, 0, 0),
        losing=(A,),
        untold=True,
    ),
}


def build_protocol(name: str, setting: Setting) -> minicheck.Protocol:
    """Return the model of a setting with its invariants and its goal."""
    leases = range(len(setting.nodes))

    def list_tokens(fields: Mapping[str, Any]) -> list[int]:
        state = State(**fields)
        tokens = (find_token(setting, state, lease) for lease in leases)
        return [token for token in tokens if token is not None]

    def has_one_owner(fields: Mapping[str, Any]) -> bool:
        return len(list_tokens(fields)) <= 1

    def has_no_stale_owner(fields: Mapping[str, Any]) -> bool:
        newest = fields["top"] // TOKENS_PER_EPOCH
        return all(token // TOKENS_PER_EPOCH >= newest for token in list_tokens(fields))

    def has_growing_tokens(fields: Mapping[str, Any]) -> bool:
        return all(token >= fields["top"] for token in list_tokens(fields))

    def keeps_assignments(fields: Mapping[str, Any]) -> bool:
        log = fields["log"]
        versioned = setting.guards.activation_version
        moves = sum(record.kind == "move" for record in log)
        return fold_log(setting.chains, versioned, log).chains[-1].epoch == moves

    def serves_newest(fields: Mapping[str, Any]) -> bool:
        moves = sum(record.kind == "move" for record in fields["log"])
        tokens = list_tokens(fields)
        return any(token // TOKENS_PER_EPOCH == moves for token in tokens)

    return minicheck.Protocol(
        name=name,
        candidate=False,
        fields=State._fields,
        initial=make_initial(setting),
        transitions=functools.partial(list_steps, setting),
        invariants={
            "at most one owner": has_one_owner,
            "no stale owner": has_no_stale_owner,
            "growing tokens": has_growing_tokens,
            "assignments are kept": keeps_assignments,
        },
        goal=serves_newest,
    )
