"""Tests of papayatack.control.config_applying."""

import asyncio

from papayatack.control.config_applying import ConfigApplier, StoredConfig
from papayatack.control.provenance import Provenance
from papayatack.logservice.tailer import EndReached
from papayatack.observability.metrics import Metrics
from papayatack.platform.manifest import ManifestDecoder, ManifestFold
from tests.fakes.virtual_time import VirtualTimeTestCase
from tests.platform.documents import PLACES, build_manifest

MALFORMED = b"{}"
DECODE_S = 0.2


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
        self.applier = ConfigApplier(
            config=self.config,
            decoder=SlowDecoder(places=PLACES, metrics=Metrics()),
            on_applied=lambda logged, provenance: self.applied.append(logged.offset),
            on_end=lambda end: self.confirmed.append(
                (end.time_s, self.config.next_offset)
            ),
        )
        task = asyncio.create_task(self.applier.run())
        self.addCleanup(task.cancel)

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
