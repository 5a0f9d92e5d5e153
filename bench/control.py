"""Measures control bytes and processor time of a node by nodes and by shards.

Usage: python -m bench.control

Node cores run in one process on a virtual clock, with every message encoded and
decoded as between processes. Bytes are those of the frames, both ways, without TCP/IP
headers; processor time is that of the cores and the codec.
"""

import dataclasses
import time
from collections import Counter

from absl import app
from tabulate import tabulate

from papayatack.core.messages import LogBatch
from papayatack.wire.convert import decode_control, encode_control
from papayatack.wire.frames import FrameReader, encode_frame
from papayatack.wire.records import encode_record
from tests.fakes.fleet import Fleet

STEADY_S = 20.0
PLACES = ("1", "2", "3")
CASES = (
    (6, 24),
    (12, 24),
    (24, 24),
    (48, 24),
    (24, 6),
    (24, 96),
)
HEADER_BYTES = 40


@dataclasses.dataclass(slots=True, kw_only=True)
class Cost:
    """What a steady fleet spent.

    Attributes:
        messages: Control messages by kind.
        frame_bytes: Bytes of their frames.
        busy_s: Processor time of cores and codec.
    """

    messages: Counter = dataclasses.field(default_factory=Counter)
    frame_bytes: int = 0
    busy_s: float = 0.0


class MeasuredFleet(Fleet):
    """A fleet that encodes its messages and counts what they cost."""

    def __init__(self, **options):
        super().__init__(**options)
        self.cost = Cost()
        self.has_requests = False

    def check(self):
        """Leave the invariants to the tests."""

    def _send(self, sender, recipient, message):
        start_s = time.process_time()
        payload = encode_frame(
            encode_control(sender, recipient, _encode_records(message))
        )
        self.cost.busy_s += time.process_time() - start_s
        self.cost.messages[type(message).__name__] += 1
        self.cost.frame_bytes += len(payload)
        carried = message if type(message) is LogBatch else payload
        super()._send(sender, recipient, carried)

    def _arrive(self, sender, recipient, message):
        start_s = time.process_time()
        if type(message) is bytes:
            (frame,) = FrameReader().feed(message)
            sender, recipient, message = decode_control(frame)
        super()._arrive(sender, recipient, message)
        self.cost.busy_s += time.process_time() - start_s

    def _tick(self, slot, core):
        start_s = time.process_time()
        super()._tick(slot, core)
        self.cost.busy_s += time.process_time() - start_s


def _encode_records(message):
    """Return the message with its records as bytes, as they go between processes."""
    if type(message) is not LogBatch:
        return message
    payloads = tuple(encode_record(record) for record in message.payloads)
    return dataclasses.replace(message, payloads=payloads)


def measure(nodes, shards_a_node):
    """Return the cost of a steady fleet, for a node and a second."""
    fleet = MeasuredFleet(shards=nodes * shards_a_node)
    fleet.plan_limit = 500
    for number in range(nodes):
        fleet.add(f"10.0.0.{number}:7101", PLACES[number % len(PLACES)])
    fleet.run_until(fleet.all_served, 60)
    fleet.run(15)
    fleet.cost = Cost()
    fleet.run(STEADY_S)
    return fleet.cost


def main(_):
    """Print one row for each size."""
    rows = []
    for nodes, shards in CASES:
        cost = measure(nodes, shards)
        count = sum(cost.messages.values())
        scale = nodes * STEADY_S
        rows.append(
            (
                nodes,
                shards,
                2 * count / scale,
                2 * cost.frame_bytes / scale,
                2 * (cost.frame_bytes + HEADER_BYTES * count) / scale,
                1e6 * cost.busy_s / scale,
                100 * cost.busy_s / scale,
            )
        )
    headers = (
        "nodes",
        "shards a node",
        "messages/s",
        "frame bytes/s",
        "with headers",
        "us/s",
        "% of a core",
    )
    print(tabulate(rows, headers=headers, floatfmt=".2f"))


if __name__ == "__main__":
    app.run(main)
