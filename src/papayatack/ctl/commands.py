"""The commands: each returns what is to be printed and the exit status."""

import dataclasses
import pathlib
import urllib.parse
import uuid
from collections.abc import Mapping

from prometheus_client.parser import text_string_to_metric_families

from papayatack.core.changes import check_change, describe_difference
from papayatack.core.configuration import list_warnings, parse_configuration
from papayatack.core.errors import InventoryError
from papayatack.core.inventory import Configuration
from papayatack.ctl import tables
from papayatack.ctl.documents import Documents, format_document, read_documents
from papayatack.ctl.exits import CommandError, ExitStatus
from papayatack.ctl.invocation import Command, Invocation, Output
from papayatack.ctl.quarantine import lift, show_quarantine
from papayatack.ctl.session import Session, decode_reply, read_detail
from papayatack.ctl.watch import watch_version
from papayatack.wire.answers import (
    ConfigAnswer,
    ExplainAnswer,
    PublishAnswer,
    StatusAnswer,
)

__all__ = ["COMMANDS"]


async def check(invocation: Invocation) -> Output:
    """Check documents, and the change to them if a node is named."""
    documents = _read_arguments(invocation)
    configuration = _parse(documents, version=1)
    warnings = list_warnings(configuration)
    difference: tuple[str, ...] = ()
    if invocation.session.nodes:
        difference = await _compare(invocation.session, configuration)
    return Output(
        document={
            "result": "valid",
            "warnings": list(warnings),
            "difference": list(difference),
        },
        text=tables.format_check(warnings, difference),
    )


async def publish(invocation: Invocation) -> Output:
    """Publish documents and wait until the publication was read back."""
    documents = _read_arguments(invocation)
    _parse(documents, version=1)
    base_version = await _find_base_version(invocation, documents)
    record_id = invocation.record_id or uuid.uuid4().hex
    message = {
        "record_id": record_id,
        "base_version": base_version,
        "inventory": documents.inventory,
        "rules": documents.rules,
    }
    try:
        reply = await invocation.session.post("/publish", message)
    except CommandError as error:
        if error.status is ExitStatus.UNKNOWN:
            raise CommandError(
                f"{error}; repeat the command with --record_id={record_id} to learn it:"
                " that publishes nothing twice",
                status=error.status,
                details=error.details,
            ) from error
        raise
    answer = decode_reply(PublishAnswer, reply)
    return _report_publication(answer, reply.status, record_id, base_version)


async def _find_base_version(invocation: Invocation, documents: Documents) -> int:
    """Return the version that the documents were made from.

    It is never taken from what is in force now: a change by another operator after
    the documents were written would be undone without a word.
    """
    for version in (invocation.base_version, documents.base_version):
        if version is not None:
            return version
    answer = decode_reply(ConfigAnswer, await invocation.session.get("/config"))
    if not answer.version:
        return 0
    raise CommandError(
        f"version {answer.version} is in force, and the version that the documents were"
        " made from is not known; give --base=VERSION, or start from the files that"
        " `papayatackctl config --out=DIRECTORY` writes",
        status=ExitStatus.USAGE,
    )


def _report_publication(
    answer: PublishAnswer, http_status: int, record_id: str, base_version: int
) -> Output:
    document = {"record_id": record_id, **answer.model_dump()}
    if http_status == 200:
        text = (
            f"accepted as version {answer.version}\n"
            f"see it take effect: papayatackctl watch {answer.version}"
        )
        return Output(document=document, text=text)
    if http_status == 409:
        text = tables.format_conflict(base_version, answer.version, answer.difference)
        return Output(document=document, text=text, status=ExitStatus.REFUSED)
    if http_status == 422:
        text = "\n".join(["refused as invalid:", *answer.faults])
        return Output(document=document, text=text, status=ExitStatus.REFUSED)
    text = f"not published: {answer.detail or 'the log cannot be reached'}"
    return Output(document=document, text=text, status=ExitStatus.AWAY)


async def show_config(invocation: Invocation) -> Output:
    """Print the documents in force, or write them to a directory for editing."""
    reply = await invocation.session.get("/config")
    answer = decode_reply(ConfigAnswer, reply)
    if invocation.directory is None:
        text = tables.format_config(answer)
    else:
        text = _write_documents(invocation.directory, answer)
    return Output(document=answer.model_dump(), text=text)


def _write_documents(directory: str, answer: ConfigAnswer) -> str:
    folder = pathlib.Path(directory)
    lines = []
    try:
        folder.mkdir(parents=True, exist_ok=True)
        for name, text in (("inventory", answer.inventory), ("rules", answer.rules)):
            path = folder / f"{name}.toml"
            path.write_text(format_document(text, answer.version), encoding="utf-8")
            lines.append(f"wrote {path}")
    except OSError as error:
        raise CommandError(str(error), status=ExitStatus.USAGE) from error
    return "\n".join(lines)


async def show_status(invocation: Invocation) -> Output:
    """Show the state of a node and the nodes that it knows."""
    answer = decode_reply(StatusAnswer, await invocation.session.get("/status"))
    return Output(document=answer.model_dump(), text=tables.format_status(answer))


async def watch(invocation: Invocation) -> Output:
    """Wait until a version is in force on all nodes."""
    word = invocation.arguments[0]
    if not word.isdecimal() or len(word) > 18:
        raise CommandError(
            f"{word!r} is not a version; give a number", status=ExitStatus.USAGE
        )
    report = await watch_version(
        invocation.session, int(word), print_progress=invocation.print_progress
    )
    status = ExitStatus.DONE
    if report.behind:
        status = ExitStatus.REFUSED
    elif report.away:
        status = ExitStatus.AWAY
    return Output(
        document=dataclasses.asdict(report),
        text=tables.format_watch(report),
        status=status,
    )


async def drain(invocation: Invocation) -> Output:
    """Have one node give up its shards and end."""
    if len(invocation.session.nodes) != 1:
        raise CommandError(
            "drain takes exactly one --node: the one that is to leave",
            status=ExitStatus.USAGE,
        )
    reply = await invocation.session.post("/drain", {})
    address = invocation.session.nodes[0]
    if reply.status not in (200, 202):
        raise CommandError(
            f"{address} refused to drain (status {reply.status})",
            status=ExitStatus.REFUSED,
            details=(read_detail(reply),),
        )
    return Output(
        document={"result": "draining", "node": address},
        text=f"{address} drains: it gives up its shards, finishes what is in flight"
        " and ends",
    )


async def declare_lost(invocation: Invocation) -> Output:
    """Declare that incarnations will never run again."""
    incarnations = list(invocation.arguments)
    reply = await invocation.session.post(
        "/declare-lost", {"incarnations": incarnations}
    )
    answer = decode_reply(PublishAnswer, reply)
    document = answer.model_dump()
    if reply.status == 200:
        text = f"declared lost: {', '.join(incarnations)}"
        return Output(document=document, text=text)
    status = ExitStatus.AWAY if reply.status == 503 else ExitStatus.REFUSED
    detail = answer.detail or answer.result or "no reason given"
    text = f"not declared: {detail}"
    return Output(document=document, text=text, status=status)


async def explain(invocation: Invocation) -> Output:
    """Tell who owns a key, and why."""
    service, key = invocation.arguments
    query = urllib.parse.urlencode({"service": service, "key": key})
    reply = await invocation.session.get(f"/explain?{query}")
    answer = decode_reply(ExplainAnswer, reply)
    return Output(document=answer.model_dump(), text=tables.format_explain(answer))


async def show_counters(invocation: Invocation) -> Output:
    """Show a node's counters by reason, and its latencies."""
    text = (await invocation.session.get("/metrics")).body.decode()
    try:
        samples = [
            (sample.name, sample.labels.get("reason", ""), sample.value)
            for family in text_string_to_metric_families(text)
            for sample in family.samples
            if not sample.name.endswith("_created")
        ]
        latencies = (await invocation.session.get("/latency")).read_json()
    except ValueError as error:
        raise CommandError(
            f"the node's answer is not understood: {error}", status=ExitStatus.AWAY
        ) from error
    document = {
        "counters": [
            {"name": name, "reason": reason, "value": value}
            for name, reason, value in samples
        ],
        "latencies": latencies,
    }
    return Output(document=document, text=tables.format_counters(samples, latencies))


def _read_arguments(invocation: Invocation) -> Documents:
    inventory, *rules = invocation.arguments
    return read_documents(inventory, rules[0] if rules else None)


def _parse(documents: Documents, *, version: int) -> Configuration:
    try:
        return parse_configuration(
            documents.inventory, documents.rules, version=version
        )
    except InventoryError as error:
        raise CommandError(
            "the documents have faults", status=ExitStatus.USAGE, details=error.faults
        ) from error


async def _compare(session: Session, new: Configuration) -> tuple[str, ...]:
    """Return the difference to what is in force, if the change is permitted."""
    answer = decode_reply(ConfigAnswer, await session.get("/config"))
    if not answer.version:
        return ()
    old = parse_configuration(answer.inventory, answer.rules, version=answer.version)
    faults = check_change(old, new)
    if faults:
        raise CommandError(
            f"the change from version {answer.version} is not permitted",
            status=ExitStatus.USAGE,
            details=faults,
        )
    return describe_difference(old, new)


COMMANDS: Mapping[str, Command] = {
    "check": Command(
        run=check,
        usage="INVENTORY [RULES]",
        least=1,
        most=2,
        summary="check documents; with --node, also the change from those in force",
    ),
    "publish": Command(
        run=publish,
        usage="INVENTORY [RULES] [--base=VERSION]",
        least=1,
        most=2,
        summary="put documents in force everywhere",
    ),
    "config": Command(
        run=show_config,
        usage="[--out=DIRECTORY]",
        least=0,
        most=0,
        summary="print the documents in force, or write them out for editing",
    ),
    "status": Command(
        run=show_status,
        usage="",
        least=0,
        most=0,
        summary="show a node and the nodes that it knows",
    ),
    "watch": Command(
        run=watch,
        usage="VERSION",
        least=1,
        most=1,
        summary="wait until a version is in force on all nodes",
    ),
    "drain": Command(
        run=drain,
        usage="",
        least=0,
        most=0,
        summary="have the node given by --node give up its shards and end",
    ),
    "declare-lost": Command(
        run=declare_lost,
        usage="INCARNATION...",
        least=1,
        most=10_000,
        summary="declare that incarnations will never run again",
    ),
    "explain": Command(
        run=explain,
        usage="SERVICE KEY",
        least=2,
        most=2,
        summary="tell who owns a key, and why",
    ),
    "quarantine": Command(
        run=show_quarantine,
        usage="",
        least=0,
        most=0,
        summary="list the requests that were in flight when upstreams crashed",
    ),
    "lift": Command(
        run=lift,
        usage="FINGERPRINT...",
        least=1,
        most=100,
        summary="let requests that were in flight at crashes run again",
    ),
    "counters": Command(
        run=show_counters,
        usage="",
        least=0,
        most=0,
        summary="show a node's counters and latencies",
    ),
}
