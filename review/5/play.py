"""Orders that the new manifest allows are refused with 413 on kept connections."""

import asyncio
import pathlib
import sys

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parent.parent))

from harness import (
    HOST,
    KEYS,
    KNOWN_IDS,
    LOOPBACK,
    has_trouble,
    read_body,
    read_head,
    run_case,
)

LAYOUT = [("desk", "bq-norte"), ("desk", "bq-centro"), ("desk", "bq-puerto")]
CONSUMERS = 30
OLD_LIMIT_BYTES = 1_000
NEW_LIMIT_BYTES = 100_000
SHORT_BYTES = 300
LONG_BYTES = 5_000
PAUSE_S = 2.0
SETTLED_S = 5.0
"""Time after the ack of the manifest; ConfigApply and 3 s."""

ALLOWED = 5
SHARE = 500


class Consumer:
    """A consumer that keeps its connection as long as the node does."""

    def __init__(self, fleet, machine):
        self.fleet = fleet
        self.machine = machine
        self.streams = None

    async def order(self, size):
        """Place an order; return the status, 0 for no answer."""
        if self.streams is None:
            self.streams = await asyncio.open_connection(
                LOOPBACK, self.machine.outbound
            )
        reader, writer = self.streams
        number = next(KNOWN_IDS)
        request_id = f"q{number:06x}"
        lines = (
            f"POST /orders/{number} HTTP/1.1",
            f"Host: {HOST}",
            f"Papayatack-Request-Id: {request_id}",
            "Papayatack-Deadline-Ms: 2000",
            f"Papayatack-Shard-Key: {number * 4_099 % KEYS}",
            f"Content-Length: {size}",
        )
        node = self.machine.number
        self.fleet.record.note(f"consumer orders {request_id}, {size} B, node {node}")
        status = 0
        try:
            writer.write("\r\n".join(lines).encode() + b"\r\n\r\n" + b"x" * size)
            answer = await read_head(reader)
            if answer is not None:
                await read_body(reader, answer, reply=True)
                status = int(answer.first[1])
        except OSError:
            answer = None
        self.fleet.record.note(f"consumer gets {status} for {request_id}")
        if answer is None or answer.fields.get("connection") == "close":
            writer.transport.abort()
            self.streams = None
        return status


def prepare(fleet):
    """Begin with a low limit, unless nothing is to be changed."""
    fleet.body_bytes = OLD_LIMIT_BYTES if has_trouble() else NEW_LIMIT_BYTES


async def play(fleet):
    """Raise the limit of bodies, and place longer orders on open connections."""
    consumers = [
        Consumer(fleet, fleet.machines[number % len(fleet.machines)])
        for number in range(CONSUMERS)
    ]
    statuses = []
    for _ in range(3):
        found = (consumer.order(SHORT_BYTES) for consumer in consumers)
        statuses.extend(await asyncio.gather(*found))
        await asyncio.sleep(PAUSE_S)
    if has_trouble():
        fleet.body_bytes = NEW_LIMIT_BYTES
        await fleet.store.put("keyed.op", b"config", fleet.build_manifest())
        fleet.record.note("a manifest with a higher limit is acknowledged")
    await asyncio.sleep(SETTLED_S)
    for _ in range(3):
        found = (consumer.order(LONG_BYTES) for consumer in consumers)
        statuses.extend(await asyncio.gather(*found))
        await asyncio.sleep(PAUSE_S)
    denied = statuses.count(413)
    text = f"{denied} of {len(statuses)} orders were refused with 413"
    return denied > ALLOWED + len(statuses) / SHARE, text


run_case(pathlib.Path(__file__).resolve().parent, LAYOUT, play, prepare)
