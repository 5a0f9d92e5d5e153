"""Tests of papayatack.core.ownership.fold against a naive implementation."""

import unittest

from hypothesis import given, settings, strategies as st

from papayatack.core.identity import LeaseId
from papayatack.core.ownership import (
    OwnershipState,
    apply_record,
    dump_state,
    load_state,
)
from papayatack.core.ownership.fold import MAX_RECENT_IDS
from papayatack.core.records import (
    Activate,
    Activation,
    Admit,
    Announce,
    Assign,
    Assignment,
    CheckpointChunk,
    DeclareLost,
    Fenced,
    Retire,
)
from tests.core.ownership.naive import NaiveFold

NAMES = ["a#1", "b#1", "c#1", "a#2"]
SHARDS = ["s/r/0", "s/r/1", "s/r/=k"]


def make_announce(name, *, record_id="i", supersedes="", writer=""):
    """Return the announcement of an incarnation."""
    return Announce(
        record_id=record_id,
        writer=writer or name,
        incarnation=name,
        address=name[0],
        operator_address="",
        data_centre=name[0],
        region="r",
        service="s",
        upstream="u",
        slots=1,
        connections=1,
        supersedes=supersedes,
    )


_names = st.sampled_from(NAMES)
_leases = st.builds(LeaseId, _names, st.integers(1, 2))
_chains = st.lists(_leases, max_size=3).map(tuple)
_ids = st.integers(0, 60).map(str)
_epochs = st.integers(0, 3)
_assignments = st.builds(
    Assignment,
    shard=st.sampled_from(SHARDS),
    base_epoch=st.one_of(_epochs, st.integers(0, 30)),
    chain=_chains,
    parent=st.sampled_from(["", "", "", SHARDS[0]]),
    parent_epoch=_epochs,
)
_activations = st.builds(
    Activation,
    shard=st.sampled_from(SHARDS),
    epoch=st.one_of(_epochs, st.integers(0, 30)),
    owner=_leases,
)
_records = st.one_of(
    st.none(),
    st.builds(
        make_announce,
        _names,
        record_id=_ids,
        supersedes=st.sampled_from(["", "", "a#1", "a#2", "b#1"]),
    ),
    st.builds(
        Admit,
        record_id=_ids,
        writer=_names,
        lease=_leases,
        witnesses=st.lists(_names, max_size=3).map(tuple),
    ),
    st.builds(
        Assign,
        record_id=_ids,
        writer=_names,
        assignments=st.lists(_assignments, max_size=3).map(tuple),
    ),
    st.builds(
        Activate,
        record_id=_ids,
        writer=_names,
        activations=st.lists(_activations, max_size=3).map(tuple),
    ),
    st.builds(Retire, record_id=_ids, writer=_names, incarnation=_names),
    st.builds(
        Fenced,
        record_id=_ids,
        writer=_names,
        lease=_leases,
        floor=st.integers(-1, 40),
    ),
    st.builds(
        DeclareLost,
        record_id=_ids,
        writer=_names,
        incarnations=st.lists(_names, max_size=2).map(tuple),
    ),
    st.builds(
        CheckpointChunk,
        record_id=_ids,
        writer=_names,
        checkpoint_id=_ids,
        covers=st.integers(0, 9),
        index=st.just(0),
        count=st.just(1),
        digest=st.just(""),
        data=st.just(""),
    ),
)
START = [
    *(make_announce(name, record_id=f"n{name}") for name in NAMES[:3]),
    Admit(
        record_id="l1",
        writer="a#1",
        lease=LeaseId("a#1", 1),
        witnesses=("b#1", "c#1"),
    ),
    Admit(record_id="l2", writer="b#1", lease=LeaseId("b#1", 1), witnesses=("c#1",)),
    Assign(
        record_id="m1",
        writer="a#1",
        assignments=(
            Assignment(shard=SHARDS[0], base_epoch=0, chain=(LeaseId("a#1", 1),)),
        ),
    ),
]


def fold_all(log):
    """Return the state after a log, and whether each record took effect."""
    state = OwnershipState()
    effective = [
        apply_record(state, offset, record).effective
        for offset, record in enumerate(log)
    ]
    return state, effective


def describe(state):
    """Return the state in the form of the naive implementation."""
    return {
        "nodes": {
            name: {
                "live": member.ended is None,
                "term": member.term,
                "address": member.address,
            }
            for name, member in state.members.items()
        },
        "at": dict(state.incarnation_by_address),
        "leases": {
            lease: {"ended": entry.end is not None, "witnesses": entry.witnesses}
            for lease, entry in state.leases.items()
        },
        "shards": {
            shard: {
                "chains": [
                    {
                        "epoch": chain.epoch,
                        "leases": chain.leases,
                        "since": chain.start_offset,
                    }
                    for chain in entry.list_chains()
                ],
                "active": entry.active,
            }
            for shard, entry in state.shards.items()
        },
    }


class DifferentialTests(unittest.TestCase):
    """Comparison with the naive implementation and of restored states."""

    @settings(max_examples=400)
    @given(records=st.lists(_records, max_size=40))
    def test_agrees_with_naive_fold(self, records):
        """Both implementations agree on the state and on which records take effect."""
        log = [*START, *records]
        naive = NaiveFold()
        for record in log:
            naive.append(record)
        state, effective = fold_all(log)
        world = naive.replay()
        self.assertEqual(world.pop("effective"), effective)
        self.assertEqual(describe(state), world)

    @settings(max_examples=100)
    @given(records=st.lists(_records, max_size=30), cut=st.integers(0, 36))
    def test_restored_state_applies_records_alike(self, records, cut):
        """A state restored from its dump applies further records like the original."""
        log = [*START, *records]
        state, _ = fold_all(log[:cut])
        loaded = load_state(dump_state(state))
        for offset, record in enumerate(log[cut:], min(cut, len(log))):
            self.assertEqual(
                apply_record(state, offset, record),
                apply_record(loaded, offset, record),
            )
        self.assertEqual(loaded, state)
        self.assertEqual(dump_state(loaded), dump_state(state))


class FoldTests(unittest.TestCase):
    """Individual rules of the fold."""

    def test_applied_offset_is_skipped_and_gap_raises(self):
        """An offset that was already applied is skipped; a gap raises an error."""
        state, _ = fold_all(START)
        before = dump_state(state)
        self.assertFalse(apply_record(state, 2, START[2]).effective)
        self.assertEqual(dump_state(state), before)
        with self.assertRaises(ValueError):
            apply_record(state, len(START) + 1, None)

    def test_duplicate_is_rejected_after_its_id_is_evicted(self):
        """A duplicate whose id is no longer stored is rejected by its version."""
        state, _ = fold_all(START)
        for number in range(MAX_RECENT_IDS + 1):
            chunk = CheckpointChunk(
                record_id=f"c{number}",
                writer="w",
                checkpoint_id="c",
                covers=0,
                index=0,
                count=1,
                digest="",
                data="",
            )
            apply_record(state, state.next_offset, chunk)
        self.assertNotIn("m1", state.recent_ids)
        for record in START:
            with self.subTest(record_id=record.record_id):
                self.assertFalse(
                    apply_record(state, state.next_offset, record).effective
                )

    def test_restart_ends_superseded_leases(self):
        """A new incarnation at an address ends the leases of the previous one."""
        state, _ = fold_all(START)
        change = apply_record(
            state, state.next_offset, make_announce("a#2", supersedes="a#1")
        )
        self.assertEqual(change.leases, (LeaseId("a#1", 1),))
        self.assertFalse(state.is_live(LeaseId("a#1", 1)))

    def test_stale_announcement_is_rejected(self):
        """An announcement that does not name the current incarnation ends no lease."""
        state, _ = fold_all(START)
        change = apply_record(state, state.next_offset, make_announce("a#2"))
        self.assertEqual((change.effective, change.reason), (False, "address taken"))
        self.assertTrue(state.is_live(LeaseId("a#1", 1)))

    def test_invalid_dump_raises_value_error(self):
        """Loading text that is not a dump raises ValueError."""
        for text in ("", "{}", "[]", '{"format": 2}', "null", '{"format": 1}'):
            with self.subTest(text=text), self.assertRaises(ValueError):
                load_state(text)
