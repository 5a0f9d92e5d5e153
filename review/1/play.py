"""Requests that wait while an instance crashes are run with an empty body."""

import asyncio
import contextlib
import itertools
import pathlib
import sys

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parent.parent))

from harness import (
    HOST,
    has_trouble,
    now,
    read_body,
    read_head,
    run_case,
    split_address,
)

LAYOUT = [
    ("papers", "bq-norte"),
    ("papers", "bq-centro"),
    ("papers", "bq-puerto"),
    ("papers", "bq-norte"),
]
WORK_S = 0.4
SLOTS = 4
STEP_S = 0.015
SENT_S = 66.0
DOWN_S = 1.5
CRASHES = 18
PAUSE_S = 2.0
POPULAR = b'{"berth": "deck", "port": "bq-puerto", "from": "2026-12-05"}'
NUMBERS = itertools.count(1)


def build_body(number):
    """Return the body of a request; two of three are the popular one."""
    return POPULAR if number % 3 else b'{"berth": "%d"}' % number


async def send(fleet, machine, sent):
    """Send a request with a body in chunks; return the status, 0 for no answer."""
    number = next(NUMBERS)
    request_id = f"b{number:06x}"
    body = build_body(number)
    sent[request_id] = body
    lines = (
        "POST /book/berths HTTP/1.1",
        f"Host: {HOST}",
        f"Papayatack-Request-Id: {request_id}",
        "Papayatack-Deadline-Ms: 3000",
        "Transfer-Encoding: chunked",
    )
    fleet.record.note(f"consumer sends {request_id}, {len(body)} B")
    status = 0
    with contextlib.suppress(OSError, TimeoutError):
        async with asyncio.timeout(3.5):
            reader, writer = await asyncio.open_connection(
                *split_address(machine.outbound)
            )
            chunks = b"%x\r\n%s\r\n0\r\n\r\n" % (len(body), body)
            writer.write("\r\n".join(lines).encode() + b"\r\n\r\n" + chunks)
            answer = await read_head(reader)
            if answer is not None:
                await read_body(reader, answer, reply=True)
                status = int(answer.first[1])
            writer.transport.abort()
    fleet.record.note(f"consumer gets {status} for {request_id}")
    return status


async def send_for(fleet, seconds, sent):
    """Send requests to all machines in turn."""
    tasks = []
    until_s = now() + seconds
    while now() < until_s:
        machine = fleet.machines[len(tasks) % len(fleet.machines)]
        tasks.append(asyncio.ensure_future(send(fleet, machine, sent)))
        await asyncio.sleep(STEP_S)
    return await asyncio.gather(*tasks)


async def crash(machine):
    """Let the instance of a machine crash, and start again."""
    await machine.instance.end()
    await asyncio.sleep(DOWN_S)
    await machine.start_instance()


async def play(fleet):
    """Let instances crash one after the other while requests wait."""
    fleet.work_s = WORK_S
    sent = {}
    sending = asyncio.ensure_future(send_for(fleet, SENT_S, sent))
    for number in range(CRASHES):
        machine = fleet.machines[number % len(fleet.machines)]
        await asyncio.sleep(PAUSE_S)
        if has_trouble():
            await crash(machine)
    answers = await sending
    changed = [
        run
        for request_id, body in sent.items()
        for run in fleet.runs.get(request_id, ())
        if run.body != body
    ]
    for run in changed[:50]:
        fleet.record.note(
            f"{run.instance} ran {run.request_id} with {len(run.body)} B of "
            f"{len(sent[run.request_id])} B"
        )
    ran = sum(1 for request_id in sent if fleet.runs.get(request_id))
    text = (
        f"{len(changed)} of {ran} requests that ran were run with another body; "
        f"{answers.count(200)} of {len(answers)} were answered 200"
    )
    return bool(changed), text


def prepare(fleet):
    """Give the instances few slots, so that requests wait."""
    fleet.slots = SLOTS


run_case(pathlib.Path(__file__).resolve().parent, LAYOUT, play, prepare)
