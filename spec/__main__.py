"""Explore all models and mutants and print what was found, as Markdown tables."""

import sys

import minicheck

from spec.messages import (
    LARGE_MESSAGE_MODELS,
    MESSAGE_MODELS,
    build_message_protocol,
)
from spec.models import LARGE_MODELS, MODELS, PROGRESS_MODELS, build_protocol
from spec.mutants import MUTANTS, build_mutant, find_counterexample

MAX_STATES = 800_000


def build_safety_protocols() -> list[minicheck.Protocol]:
    """Return all models that must keep the invariants."""
    settings = MODELS | PROGRESS_MODELS | LARGE_MODELS
    protocols = [build_protocol(*item) for item in settings.items()]
    messages = MESSAGE_MODELS | LARGE_MESSAGE_MODELS
    protocols += [build_message_protocol(*item) for item in messages.items()]
    return protocols


def explore_models() -> bool:
    """Print a row for each model; return whether all invariants hold."""
    print("| Model | States | Invariants |\n|---|---|---|", flush=True)
    all_hold = True
    for protocol in build_safety_protocols():
        result = minicheck.check_safety(protocol, max_states=MAX_STATES)
        verdicts = [entry["holds"] for entry in result["properties"].values()]
        verdict = "hold" if all(verdicts) else "DO NOT HOLD"
        if None in verdicts:
            verdict = "UNDETERMINED"
        all_hold = all_hold and all(verdicts)
        row = f"| {protocol.name} | {result['reachable_states']} | {verdict} |"
        print(row, flush=True)
    return all_hold


def explore_progress() -> bool:
    """Print a row for each model; return whether each can always make progress."""
    print("\n| Model | States | Newest chain can be served from each |\n|---|---|---|")
    all_hold = True
    for name, setting in PROGRESS_MODELS.items():
        result = minicheck.check_liveness(build_protocol(name, setting))
        verdict = {True: "yes", False: "NO", None: "UNDETERMINED"}[result["holds"]]
        all_hold = all_hold and result["holds"] is True
        print(f"| {name} | {result.get('reachable_states')} | {verdict} |", flush=True)
    return all_hold


def explore_mutants() -> bool:
    """Print a row for each mutant; return whether each has a counterexample."""
    print("\n| Guard taken away | Model | Steps | Counterexample |\n|---|---|---|---|")
    all_found = True
    for guard, model in MUTANTS.items():
        trace = find_counterexample(build_mutant(guard, model))
        all_found = all_found and trace is not None
        labels = [step["label"] for step in trace or []][1:]
        steps = ", ".join(labels) if trace else "NONE"
        print(f"| {guard} | {model} | {len(labels)} | {steps} |", flush=True)
    return all_found


def main() -> int:
    """Explore everything and return the exit status."""
    verdicts = [explore_models(), explore_progress(), explore_mutants()]
    return 0 if all(verdicts) else 1


if __name__ == "__main__":
    sys.exit(main())
