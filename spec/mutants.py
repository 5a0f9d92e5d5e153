"""The guards, each taken away in a model that then has a counterexample."""

import dataclasses
from collections.abc import Mapping

import minicheck

from spec.guards import Guards
from spec.messages import MESSAGE_MODELS, build_message_protocol
from spec.models import MODELS, build_protocol

__all__ = ["MUTANTS", "build_mutant", "find_counterexample"]

FIRST_SEARCH_STATES = 2_000
LAST_SEARCH_STATES = 512_000

MUTANTS: Mapping[str, str] = {
    "promise_expiry": "move",
    "view_before_promise": "move",
    "promise_majority": "move",
    "fence_majority": "move",
    "permanence": "takeover",
    "incarnation": "readmission",
    "floor": "chain-of-three",
    "floor_at_majority": "move",
    "floor_before_release": "move",
    "whole_chain": "chain-of-three",
    "every_chain": "stacked-moves",
    "predecessors": "takeover",
    "claim_per_epoch": "stacked-moves",
    "activation_version": "late-activation",
    "own_floor": "new-successor",
    "word_floor": "own-end",
    "mark_keeps_floor": "fence-record",
    "drain_before_resign": "resignation",
    "death_before_supersession": "supersession",
    "lease_not_node": "readmission",
    "stay_unreleased": "readmission",
    "departed_promise": "departing-witnesses",
    "live_promise": "orphaned-lease",
    "orphan_wait": "orphaned-lease",
    "floor_maximum": "messages",
    "view_from_sending": "messages",
    "clock_margin": "messages",
}
"""For each guard, a model that needs it."""


def build_mutant(guard: str, model: str) -> minicheck.Protocol:
    """Return a model without one guard."""
    guards = Guards(**{guard: False})
    name = f"{model} without {guard}"
    if model in MESSAGE_MODELS:
        setting = MESSAGE_MODELS[model]._replace(guards=guards)
        return build_message_protocol(name, setting)
    return build_protocol(name, MODELS[model]._replace(guards=guards))


def list_guards() -> tuple[str, ...]:
    """Return the names of all guards."""
    return tuple(field.name for field in dataclasses.fields(Guards))


def find_counterexample(protocol: minicheck.Protocol) -> list[dict] | None:
    """Return a shortest trace to a state that breaks an invariant, if there is one.

    The search is widened step by step, since a counterexample needs no whole search.
    """
    limit = FIRST_SEARCH_STATES
    while limit <= LAST_SEARCH_STATES:
        result = minicheck.check_safety(protocol, max_states=limit)
        traces = [
            verdict["counterexample"]
            for verdict in result["properties"].values()
            if verdict["holds"] is False
        ]
        if traces:
            return min(traces, key=len)
        if result["exhaustive"]:
            return None
        limit *= 4
    return None
