"""Tests of papayatack.core.config_fold."""

import unittest

from hypothesis import given, strategies as st

from papayatack.core.config_fold import (
    MAX_PUBLICATIONS,
    ConfigFold,
    PublicationResult,
)
from papayatack.core.errors import InventoryError
from papayatack.core.records import CheckpointChunk, Publish
from tests.core.test_configuration import INVENTORY

OTHER = INVENTORY.replace("slots = 14", "slots = 15")
FORBIDDEN = INVENTORY.replace("shards = 4", "shards = 5", 1)
DOCUMENTS = (INVENTORY, OTHER, FORBIDDEN, "not toml [")


def publish(record_id, base_version, inventory=INVENTORY, rules=""):
    """Return a publication."""
    return Publish(
        record_id=record_id,
        writer="w",
        base_version=base_version,
        inventory=inventory,
        rules=rules,
    )


def fold_records(records):
    """Apply records at consecutive offsets; return the fold and the results."""
    fold = ConfigFold()
    results = [fold.apply(offset, record) for offset, record in enumerate(records)]
    return fold, results


class ConfigFoldTests(unittest.TestCase):
    """Which publications take effect, and how the state is saved and restored."""

    def test_first_publication(self):
        """The first publication is based on version 0 and creates version 1."""
        fold, results = fold_records([publish("a", 0)])
        self.assertIs(results[0].result, PublicationResult.EFFECTIVE)
        self.assertEqual((fold.version, results[0].version), (1, 1))
        self.assertEqual(fold.inventory, INVENTORY)

    def test_concurrent_publications_conflict(self):
        """Of two publications based on one version, the second is a conflict."""
        fold, results = fold_records(
            [publish("a", 0), publish("b", 1, OTHER), publish("c", 1)]
        )
        self.assertIs(results[2].result, PublicationResult.CONFLICT)
        self.assertEqual(fold.configuration.services[0].slots, 15)

    def test_invalid_publication_changes_nothing(self):
        """Invalid documents and forbidden changes leave the configuration unchanged."""
        for document in (FORBIDDEN, "not toml [", ""):
            with self.subTest(document=document[:20]):
                fold, results = fold_records(
                    [publish("a", 0), publish("b", 1, document)]
                )
                self.assertIs(results[1].result, PublicationResult.INVALID)
                self.assertTrue(results[1].faults)
                self.assertEqual((fold.version, fold.inventory), (1, INVENTORY))

    def test_repeated_id_is_ignored(self):
        """A publication appended twice is evaluated only once.

        An append is repeated if its response is lost. The repeat is ignored even if the
        version on which the publication is based has become current in the meantime.
        """
        early = publish("b", 1, OTHER)
        fold, results = fold_records([early, publish("a", 0), early])
        self.assertIs(results[0].result, PublicationResult.CONFLICT)
        self.assertIsNone(results[2])
        self.assertEqual((fold.version, fold.inventory), (1, INVENTORY))

    def test_repeated_offset_is_ignored(self):
        """A record that is read twice is applied once."""
        fold, _ = fold_records([publish("a", 0)])
        self.assertIsNone(fold.apply(0, publish("z", 1, OTHER)))
        self.assertEqual(fold.version, 1)

    def test_checkpoint_chunk_only_advances_offset(self):
        """A checkpoint chunk does not affect the configuration."""
        chunk = CheckpointChunk(
            record_id="k",
            writer="w",
            checkpoint_id="c",
            covers=0,
            index=0,
            count=1,
            digest="",
            data="",
        )
        fold, _ = fold_records([chunk])
        self.assertEqual((fold.version, fold.next_offset), (0, 1))

    def test_number_of_kept_results_is_bounded(self):
        """Results of recent publications can be looked up; older ones are dropped."""
        records = [publish(f"r{n}", 7) for n in range(MAX_PUBLICATIONS + 1)]
        fold, _ = fold_records(records)
        self.assertIsNone(fold.find_publication("r0"))
        self.assertIs(fold.find_publication("r1").result, PublicationResult.CONFLICT)

    @given(
        st.lists(
            st.tuples(
                st.integers(min_value=0, max_value=5),
                st.integers(min_value=0, max_value=4),
                st.sampled_from(DOCUMENTS),
            ),
            max_size=12,
        ),
        st.integers(min_value=0, max_value=12),
    )
    def test_state_survives_dump_and_load(self, drafts, cut):
        """A fold restored from a dump at any offset reaches the same state."""
        records = [publish(f"r{i}", base, text) for i, base, text in drafts]
        whole, _ = fold_records(records)
        early, _ = fold_records(records[:cut])
        late = ConfigFold.load(early.dump())
        versions = [late.version]
        for offset, record in enumerate(records):
            late.apply(offset, record)
            versions.append(late.version)
        self.assertEqual(late.dump(), whole.dump())
        self.assertEqual(late.configuration, whole.configuration)
        self.assertEqual(versions, sorted(versions))

    def test_damaged_dump_is_refused(self):
        """A dump with an unknown format or missing content is not loaded."""
        fold, _ = fold_records([publish("a", 0)])
        text = fold.dump()
        for damaged in (
            text.replace('"format":1', '"format":2'),
            text[:-2],
            "[]",
            "{}",
        ):
            with self.subTest(text=damaged[:30]), self.assertRaises(InventoryError):
                ConfigFold.load(damaged)
