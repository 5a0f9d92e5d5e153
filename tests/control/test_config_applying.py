"""Tests of papayatack.control.config_applying."""

import asyncio
import logging
import random

from papayatack.control.config_applying import ConfigApplier, StoredConfig
from papayatack.control.provenance import Provenance
from papayatack.logservice.tailer import EndReached
from papayatack.observability.metrics import Metrics
from papayatack.platform.manifest import ManifestDecoder, ManifestFold
from tests.fakes.virtual_time import VirtualTimeTestCase
from tests.platform.documents import PLACES, build_manifest

MALFORMED = b"{}"
DECODE_S = 0.2
SEEDS = 100
STEPS = 30


class SlowDecoder(ManifestDecoder):
    """Takes a while for each record of the config stream."""

    async def decode_in_slices(self, stream, offset, payload):
        """Decode a payload after a while."""
        await asyncio.sleep(DECODE_S)
        return await super().decode_in_slices(stream, offset, payload)


class ConfigApplierTests(VirtualTimeTestCase):
    """A state in which a newer manifest replaces the earlier ones."""

    async def asyncSetUp(self):
        self.config = ManifestFold(places=PLACES)
        self.applied = []
        self.confirmed = []
        self.versions = []
        self.applier = ConfigApplier(
            config=self.config,
            decoder=SlowDecoder(places=PLACES, metrics=Metrics()),
            on_applied=lambda logged, provenance: self.applied.append(logged.offset),
            on_end=self.note_end,
        )
        task = asyncio.create_task(self.applier.run())
        self.addCleanup(task.cancel)

    def note_end(self, end):
        """Note an end that is confirmed, and by which state."""
        self.confirmed.append((end.time_s, self.config.next_offset))
        self.versions.append((end.time_s, self.config.version))

    def put(self, offset, payload):
        """Queue a record."""
        self.applier.put(
            StoredConfig(
                offset=offset, payload=payload, provenance=Provenance(read_s=0.0)
            )
        )

    def put_version(self, offset, version):
        """Queue a manifest of a version."""
        self.put(offset, build_manifest(version=f"{version:08x}"))

    def put_end(self, time_s):
        """Queue the message that all records have been read."""
        self.applier.put(EndReached(stream="config", time_s=time_s, response_s=None))

    async def test_replaced_record_is_not_decoded(self):
        """Only the newest of those that wait is in force later."""
        for offset, version in ((5, 2), (6, 3), (7, 4)):
            self.put_version(offset, version)
        await asyncio.sleep(1.5 * DECODE_S)
        self.assertEqual((self.config.version, self.applied), (4, [7]))

    async def test_malformed_record_does_not_replace_the_valid_one_before_it(self):
        """The newest valid record is in force, wherever the malformed ones are."""
        for offset, version in ((5, 2), (6, 3)):
            self.put_version(offset, version)
        for offset in (7, 8):
            self.put(offset, MALFORMED)
        with self.assertLogs("papayatack", "WARNING"):
            await asyncio.sleep(5 * DECODE_S)
        self.assertEqual((self.config.version, self.config.next_offset), (3, 9))
        self.assertEqual(self.applied, [6, 8])

    async def test_record_that_is_not_applied_is_not_confirmed(self):
        """The end that was read before a newer record waits for that one."""
        self.put_version(5, 2)
        self.put_end(10.0)
        self.put_version(6, 3)
        await asyncio.sleep(0.5 * DECODE_S)
        self.assertEqual(self.confirmed, [])
        await asyncio.sleep(DECODE_S)
        self.assertEqual(self.confirmed, [(10.0, 7)])

    async def test_end_after_malformed_records_is_confirmed(self):
        """Nothing newer that can be applied was there."""
        self.put_version(5, 2)
        self.put(6, MALFORMED)
        self.put_end(10.0)
        with self.assertLogs("papayatack", "WARNING"):
            await asyncio.sleep(3 * DECODE_S)
        self.assertEqual(self.config.version, 2)
        self.assertEqual(self.confirmed, [(10.0, 7)])

    async def test_newest_valid_version_is_in_force_whatever_comes_when(self):
        """An end is confirmed only at the version that the log had by then."""
        logging.disable(logging.WARNING)
        self.addCleanup(logging.disable, logging.NOTSET)
        for seed in range(SEEDS):
            with self.subTest(seed=seed):
                await self.play(random.Random(seed))

    async def play(self, rng):
        """Queue records and ends at random moments, some of them at once."""
        stored = {}
        self.versions.clear()
        self.applied.clear()
        seen = [self.config.version]
        offset, version = self.config.next_offset, self.config.version
        for _ in range(STEPS):
            if rng.random() < 0.5:
                await asyncio.sleep(rng.random() * 2 * DECODE_S)
            seen.append(self.config.version)
            match rng.randrange(4):
                case 0:
                    self.put(offset, MALFORMED)
                    offset += rng.randint(1, 3)
                case 1 | 2:
                    version += 1
                    self.put_version(offset, version)
                    offset += rng.randint(1, 3)
                case 3:
                    number = float(len(stored))
                    stored[number] = version
                    self.put_end(number)
        await asyncio.sleep(STEPS * DECODE_S)
        self.assertEqual(self.config.version, version)
        self.assertEqual(seen, sorted(seen))
        self.assertEqual(self.applied, sorted(self.applied))
        for number, confirmed in self.versions:
            self.assertGreaterEqual(confirmed, stored[number])
        self.assertEqual([number for number, _ in self.versions[-1:]], [*stored][-1:])
