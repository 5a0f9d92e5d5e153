"""Tests with arbitrary control messages."""

import unittest

from hypothesis import given, settings, strategies as st

from papayatack.core import messages
from papayatack.core.identity import LeaseId
from papayatack.core.ownership.effects import EmitEvent
from tests.fakes.fleet import Fleet

NAMES = ["a#1", "b#1", "c#1", "x#1", "", "a#2"]
_names = st.sampled_from(NAMES)
_numbers = st.one_of(
    st.integers(-3, 30), st.sampled_from([2**62, -(2**62), 10**6, 2**31])
)
_leases = st.builds(LeaseId, _names, st.integers(-1, 3))
_shards = st.sampled_from(["s/all/0", "s/all/1", "", "x", "s/all/=k"])
_fields = {
    "lease": _leases,
    "asker": _leases,
    "round": _numbers,
    "floor": st.integers(-3, 3),
    "config_offset": _numbers,
    "ownership_offset": _numbers,
    "heard": _numbers,
    "promised_us": _numbers,
    "remaining_us": _numbers,
    "fenced": st.just(False),
    "drained": st.booleans(),
    "resigned": st.booleans(),
    "shards": st.lists(_shards, max_size=3).map(tuple),
    "epochs": st.lists(st.integers(-3, 0), max_size=3).map(tuple),
    "stream": st.sampled_from(["", "papayatack-config", "papayatack-ownership"]),
    "offset": _numbers,
}
FIELDS_BY_MESSAGE = {
    messages.Renew: (
        "lease",
        "round",
        "floor",
        "config_offset",
        "ownership_offset",
        "heard",
    ),
    messages.RenewReply: (
        "lease",
        "round",
        "promised_us",
        "fenced",
        "config_offset",
        "ownership_offset",
    ),
    messages.Fence: ("lease", "resigned"),
    messages.FenceReply: ("lease", "fenced", "floor", "remaining_us", "drained"),
    messages.Release: ("lease", "shards", "epochs"),
    messages.ReleaseQuery: ("asker", "lease", "shards", "epochs"),
    messages.LeaseLapsed: ("lease",),
    messages.LeaseFenced: ("lease",),
    messages.LogQuery: ("stream", "offset"),
}
_messages = st.one_of(
    *(
        st.builds(kind, **{name: _fields[name] for name in names})
        for kind, names in FIELDS_BY_MESSAGE.items()
    )
)


class ArbitraryMessageTests(unittest.TestCase):
    """Nodes that receive messages of any content from any sender."""

    @settings(max_examples=40)
    @given(sent=st.lists(st.tuples(_names, _names, _messages), max_size=40))
    def test_arbitrary_messages_violate_no_invariant(self, sent):
        """No message raises, and no two nodes serve the same shard.

        Resignations from the holder itself are left out, as they are valid.
        """
        fleet = Fleet(shards=2)
        for name, data_centre in zip("abc", "123", strict=True):
            fleet.add(name, data_centre)
        fleet.run_until(fleet.all_served, 20)
        for sender, recipient, message in sent:
            resigned = getattr(message, "resigned", False)
            if not (resigned and sender == message.lease.incarnation):
                fleet._arrive(sender, recipient, message)
            fleet.run(0.02)
        fleet.run(1.0)

    def test_message_from_the_wrong_sender_emits_a_refusal(self):
        """Messages that only the holder or asker may send are refused from others."""
        fleet = Fleet(shards=1)
        for name, data_centre in zip("abc", "123", strict=True):
            fleet.add(name, data_centre)
        fleet.run_until(fleet.all_served, 20)
        lease = LeaseId("a#1", 1)
        wrong = [
            messages.Renew(
                lease=lease, round=1, floor=0, config_offset=0, ownership_offset=0
            ),
            messages.Fence(lease=lease, resigned=True),
            messages.Release(lease=lease, shards=(), epochs=()),
            messages.ReleaseQuery(asker=lease, lease=lease, shards=(), epochs=()),
        ]
        for message in wrong:
            with self.subTest(kind=type(message).__name__):
                effects = fleet.slots["b"].core.receive("c#1", message, now=fleet.now)
                (note,) = [e for e in effects if type(e) is EmitEvent]
                self.assertEqual(note.name, "PEER_MESSAGE_REFUSED")
