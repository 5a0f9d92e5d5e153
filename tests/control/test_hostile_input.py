"""Tests with hostile messages and records that reach every node."""

import asyncio
import dataclasses
import random
import types
import typing
import unittest

import looptime

from papayatack.core.identity import LeaseId
from papayatack.core.messages import ControlMessage
from papayatack.core.records import CONFIG_STREAM, OWNERSHIP_STREAM, OwnershipRecord
from papayatack.wire.records import RecordTooLargeError, encode_record
from tests.fakes.nodes import INVENTORY, NodeFixture

SEEDS = range(12)
INPUTS = 150
PLACES = {"a": "east", "b": "west", "c": "south"}
TEXTS = (
    "",
    "x",
    "orders/all/0",
    "orders/all/9999",
    "orders/all/=k",
    "orders//",
    "a#1",
    "b#2",
    "c#3",
    "c#99",
    "\ud7ff\x00",
    "a" * 300,
    OWNERSHIP_STREAM,
    CONFIG_STREAM,
    "checkpoint",
    "9" * 30,
)
NUMBERS = (0, 1, 2, 3, 7, 40, 1000, 2**31, 2**53 - 1, 2**62, -1, -(2**62))
FLOATS = (0.0, -1.0, 0.5, 1e300, float("inf"), float("-inf"), float("nan"))
BLOBS = (b"", b"{}", b"\x00" * 50, b"\xff\xfe", b'{"v":1,"kind":"admit"}', b"[" * 5000)


class Generator:
    """Builds values of dataclasses with arbitrary fields.

    Args:
        rng: Source of randomness.
        smallest: Least number that a field may have.
    """

    def __init__(self, *, rng, smallest):
        self._rng = rng
        self._numbers = [
            number for number in NUMBERS if smallest <= number <= 2**53 or smallest < 0
        ]

    def build(self, hint):
        """Return a value for a type hint."""
        if hint is LeaseId:
            return LeaseId(self._rng.choice(TEXTS), self._rng.choice(self._numbers))
        if dataclasses.is_dataclass(hint):
            hints = typing.get_type_hints(hint)
            fields = (field.name for field in dataclasses.fields(hint))
            return hint(**{name: self.build(hints[name]) for name in fields})
        if typing.get_origin(hint) is tuple:
            count = self._rng.choice((0, 1, 2, 5))
            return tuple(self.build(typing.get_args(hint)[0]) for _ in range(count))
        if isinstance(hint, types.UnionType):
            return self.build(self._rng.choice(typing.get_args(hint)))
        return self._build_plain(getattr(hint, "__supertype__", hint))

    def _build_plain(self, hint):
        choices = {
            str: TEXTS,
            int: self._numbers,
            float: FLOATS,
            bool: (False, True),
            bytes: BLOBS,
            types.NoneType: (None,),
        }
        return self._rng.choice(choices[hint])


class HostileInputTests(unittest.TestCase):
    """No input that one node takes from another, or from the log, ends it."""

    def play(self, send, seed):
        """Start nodes, send hostile input, and check that all nodes go on."""

        async def run():
            fixture = NodeFixture()
            fixture.publish()
            for address, place in PLACES.items():
                fixture.start(address, place)
            await fixture.wait_served(["k"], 15)
            for _ in range(INPUTS):
                sent = send(fixture)
                await asyncio.sleep(0.02)
                for task in fixture.tasks.values():
                    if task.done():
                        self.fail(f"seed {seed}: {sent!r} ended a node: {task!r}")
            await fixture.stop()

        with asyncio.Runner(loop_factory=looptime.new_event_loop) as runner:
            runner.run(run())

    def test_no_control_message_ends_a_node(self):
        messages = typing.get_args(ControlMessage)
        for seed in SEEDS:
            rng = random.Random(seed)
            generator = Generator(rng=rng, smallest=-(2**62))

            def send(fixture, rng=rng, generator=generator):
                message = generator.build(rng.choice(messages))
                sender, node = rng.choices(list(fixture.network.nodes.values()), k=2)
                node.receive(sender.core.incarnation, node.core.incarnation, message)
                return message

            with self.subTest(seed=seed):
                self.play(send, seed)

    def test_no_record_ends_the_nodes(self):
        records = typing.get_args(OwnershipRecord)
        for seed in SEEDS:
            rng = random.Random(seed)
            generator = Generator(rng=rng, smallest=0)

            def send(fixture, rng=rng, generator=generator):
                record = generator.build(rng.choice(records))
                try:
                    payload = encode_record(record)
                except (RecordTooLargeError, ValueError):
                    payload = rng.choice(BLOBS)
                fixture.store.append(OWNERSHIP_STREAM, payload)
                return record

            with self.subTest(seed=seed):
                self.play(send, seed)

    def test_no_configuration_ends_the_nodes(self):
        for seed in SEEDS:
            rng = random.Random(seed)
            lines = INVENTORY.splitlines()

            def send(fixture, rng=rng, lines=lines):
                changed = list(lines)
                for _ in range(rng.choice((1, 2, 4))):
                    number = rng.randrange(len(changed))
                    value = rng.choice(
                        ("-1", "0", "nan", "1e999", '""', "[]", "{}", '"("', "99999999")
                    )
                    name = changed[number].partition("=")[0] or "x"
                    changed[number] = rng.choice((f"{name} = {value}", "", "[["))
                version = min(
                    node.config.version for node in fixture.network.nodes.values()
                )
                fixture.publish(
                    "\n".join(changed),
                    base_version=version,
                    record_id=f"p{rng.random()}",
                )
                return changed

            with self.subTest(seed=seed):
                self.play(send, seed)
