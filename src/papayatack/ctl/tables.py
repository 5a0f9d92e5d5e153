"""Plain tables and sentences for people."""

from collections.abc import Iterable, Sequence
from typing import Any

from tabulate import tabulate

from papayatack.ctl.watch import WatchReport
from papayatack.wire.answers import (
    ColdnessEntry,
    ConfigAnswer,
    ExplainAnswer,
    QuarantineAnswer,
    ShareEntry,
    StatusAnswer,
)

__all__ = [
    "format_check",
    "format_config",
    "format_conflict",
    "format_counters",
    "format_explain",
    "format_quarantine",
    "format_status",
    "format_watch",
]

UNLIMITED_MS = 1e9


def _format_table(headers: Sequence[str], rows: Iterable[Sequence[Any]]) -> str:
    return tabulate(list(rows), headers=headers, tablefmt="plain", floatfmt="g")


def format_check(warnings: Sequence[str], difference: Sequence[str]) -> str:
    """Return the verdict on valid documents."""
    lines = ["valid"]
    lines.extend(f"warning: {warning}" for warning in warnings)
    lines.extend(f"change: {line}" for line in difference)
    return "\n".join(lines)


def format_conflict(base_version: int, version: int, difference: Sequence[str]) -> str:
    """Return what came in between, and what to do."""
    differences = [
        "what the version in force has that your documents have not:",
        *(f"  {line}" for line in difference),
    ]
    if not difference:
        differences = ["the version in force has what your documents have"]
    lines = [
        f"conflict: made from version {base_version}, but version {version} is in"
        " force; nothing was published",
        *differences,
        "start again from the documents in force: papayatackctl config --out=DIRECTORY",
    ]
    return "\n".join(lines)


def format_quarantine(answer: QuarantineAnswer) -> str:
    """Return a table of the requests that were in flight at crashes."""
    if not answer.suspects:
        return "no request is suspected"
    rows = [
        (
            suspect.fingerprint,
            suspect.service,
            suspect.caller,
            "refused" if suspect.is_refused else "runs alone",
            suspect.rounds,
            suspect.last_request,
            " ".join(suspect.upstreams),
        )
        for suspect in answer.suspects
    ]
    headers = ("fingerprint", "service", "caller", "state", "crashes", "last request")
    return _format_table((*headers, "upstreams"), rows)


def format_config(answer: ConfigAnswer) -> str:
    """Return both documents."""
    return (
        f"# version {answer.version}, inventory\n{answer.inventory.rstrip()}\n\n"
        f"# version {answer.version}, rules\n{answer.rules.rstrip()}"
    )


def format_status(answer: StatusAnswer) -> str:
    """Return one node's state, then the nodes that it knows."""
    lease = answer.lease
    lease_text = "none: it serves nothing"
    if lease is not None and lease.id:
        left = f"{lease.remaining_ms / 1000:.1f} s left"
        if lease.remaining_ms > UNLIMITED_MS:
            left = "without end, as a lone node needs no witness"
        lease_text = f"term {lease.term}, {left}, {len(lease.witnesses)} witnesses"
    own = [
        ("incarnation", answer.incarnation),
        ("service", answer.service),
        ("place", f"{answer.data_centre} ({answer.region})"),
        ("state", answer.state),
        ("lease", lease_text),
        ("shards owned", answer.shards_owned),
        *(_describe_share(entry) for entry in answer.shares),
        ("in flight, queued", f"{answer.in_flight}, {answer.queue}"),
        *_describe_coldness(answer.coldness),
        *_describe_pace(answer),
        ("configuration", _describe_configuration(answer)),
        (
            "offsets",
            f"config {answer.config_offset}, ownership {answer.ownership_offset}",
        ),
        ("log", "reachable" if answer.log_reachable else "away"),
    ]
    if answer.evacuated:
        own.append(("evacuated", _describe_evacuation(answer)))
    nodes = [
        (n.incarnation, n.operator_address, n.service, n.data_centre, n.state)
        for n in answer.nodes
    ]
    headers = ("node", "operators' address", "service", "data centre", "state")
    return f"{_format_table((), own)}\n\n{_format_table(headers, nodes)}"


def _describe_share(entry: ShareEntry) -> tuple[str, str]:
    """Return a row that tells which node has the largest share of the shards."""
    largest = f"{entry.share:.2f} on {entry.node}, of the slots {entry.slot_share:.2f}"
    return (
        f"shards of {entry.service}",
        f"{entry.shards}, {entry.unowned} without owner; largest share {largest}",
    )


def _describe_coldness(entry: ColdnessEntry | None) -> list[tuple[str, str]]:
    """Return a row that tells whether the upstream is cold, if that matters."""
    if entry is None:
        return []
    text = "warm"
    if entry.is_cold:
        text = f"cold for {entry.remaining_ms / 1000:.1f} s more"
    news = f"{entry.source} {entry.age_ms / 1000:.1f} s ago"
    return [("upstream", f"{text} ({news}), room for {entry.room} requests")]


def _describe_pace(answer: StatusAnswer) -> list[tuple[str, str]]:
    """Return a row on how long work takes at the upstream, if it reports its load."""
    if answer.upstream_pace is None or answer.upstream_load_age_s is None:
        return []
    age = f"reported {answer.upstream_load_age_s:.1f} s ago"
    text = f"work takes {answer.upstream_pace:.2f} times as long as usual, {age}"
    return [("upstream's pace", text)]


def _describe_evacuation(answer: StatusAnswer) -> str:
    """Return the evacuated data centres, and whether the local upstream is used."""
    text = ", ".join(answer.evacuated)
    if answer.data_centre not in answer.evacuated:
        return text
    is_used = answer.sends_to_upstream
    return f"{text}; the upstream here {'is still used' if is_used else 'gets nothing'}"


def _describe_configuration(answer: StatusAnswer) -> str:
    """Return the version in force, and when no newer one was known for certain."""
    text = f"version {answer.config_version}"
    if answer.config_age_ms is None:
        return f"{text}, not known to be the newest"
    return f"{text}, the newest {answer.config_age_ms / 1000:.1f} s ago"


def format_watch(report: WatchReport) -> str:
    """Return the nodes on which a version is not in force."""
    if not report.behind and not report.away:
        return f"version {report.version} is in force on all {report.in_force} nodes"
    rows = [
        (entry.incarnation, entry.operator_address, entry.version or "no answer")
        for entry in (*report.behind, *report.away)
    ]
    table = _format_table(("node", "operators' address", "version"), rows)
    return f"version {report.version} is not in force on:\n{table}"


def format_explain(answer: ExplainAnswer) -> str:
    """Return who owns a key and the chain behind it."""
    own = [
        ("shard", answer.shard),
        ("owner", answer.owner or "none"),
        ("address", answer.address),
        ("epoch", answer.epoch),
        ("token", answer.token),
    ]
    chain = [(h.lease, h.data_centre, h.state, h.reason) for h in answer.chain]
    table = _format_table(("chain", "data centre", "state", "reason"), chain)
    why = "\n".join(f"- {line}" for line in answer.why)
    return "\n\n".join(part for part in (_format_table((), own), table, why) if part)


def format_counters(samples: Iterable[tuple[str, str, float]], latencies: Any) -> str:
    """Return the counters that are not zero, and the latencies."""
    rows = [sample for sample in samples if sample[2]]
    text = _format_table(("counter", "reason", "value"), rows)
    if not isinstance(latencies, dict) or not latencies:
        return text
    names = sorted({name for value in latencies.values() for name in value})
    table = [
        (name, *(value.get(column, "") for column in names))
        for name, value in latencies.items()
    ]
    return f"{text}\n\n{_format_table(('latency', *names), table)}"
