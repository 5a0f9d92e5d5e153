"""Tests of papayatack.core.ownership.membership."""

import unittest

from papayatack.core.identity import LeaseId
from papayatack.core.messages import LeaseFenced
from papayatack.core.ownership.effects import AppendRecord
from papayatack.core.ownership.node import NodeCore
from papayatack.core.ownership.state import OwnershipState
from papayatack.core.ownership.timing import (
    APPEND_RETRY_INTERVAL_S,
    READMIT_INTERVAL_S,
)
from papayatack.core.records import Admit, Announce, Retire

LOCAL = "127.0.0.1:1#a"
OTHERS = [f"127.0.0.{number}:1#a" for number in range(2, 8)]
STEP_S = 0.05


def make_announcement(name):
    """Return the announcement of a node; all are in one data centre."""
    return Announce(
        record_id=f"announce {name}",
        writer=name,
        incarnation=name,
        address=name.partition("#")[0],
        operator_address="127.0.0.1:2",
        data_centre="d",
        region="r",
        service="",
        upstream="",
        slots=0,
        connections=0,
    )


class AdmitTests(unittest.TestCase):
    """The requests of a node for a lease, in a fleet of seven."""

    def setUp(self):
        self.core = NodeCore(
            announcement=make_announcement(LOCAL),
            state=OwnershipState(),
            now=0.0,
            find_service=lambda name: None,
        )
        self.now = 0.0
        self.admits = []
        for name in (*OTHERS, LOCAL):
            self.apply(make_announcement(name))
        for name in OTHERS:
            lease = LeaseId(name, 1)
            self.apply(
                Admit(record_id=f"l{name}", writer=name, lease=lease, witnesses=())
            )
        self.core.caught_up = True

    def apply(self, record):
        """Apply a record."""
        _, effects = self.core.apply_record(
            self.core.state.next_offset, record, now=self.now
        )
        self.note(effects)

    def note(self, effects):
        """Keep the requests for a lease."""
        for effect in effects:
            if isinstance(effect, AppendRecord) and isinstance(effect.record, Admit):
                self.admits.append(effect.record)

    def run_for(self, duration_s):
        """Let time pass."""
        until_s = self.now + duration_s
        while self.now < until_s:
            self.now += STEP_S
            self.note(self.core.advance(self.now))

    def retire(self, name):
        """Record the end of a node."""
        self.apply(Retire(record_id=f"r{name}", writer=name, incarnation=name))

    def await_request(self):
        """Return the next request."""
        while not self.admits:
            self.run_for(STEP_S)
        return self.admits.pop()

    def list_witnesses(self):
        """Return the witnesses of the newest lease."""
        state = self.core.state
        return state.leases[state.find_live_lease(LOCAL)].witnesses

    def admit(self):
        """Apply the first request."""
        self.run_for(0.1)
        self.apply(self.admits.pop())

    def test_void_request_is_made_again_at_once(self):
        """A witness had ended by then; the next request names another."""
        self.admit()
        witnesses = self.list_witnesses()
        self.retire(witnesses[0])
        first = self.await_request()
        self.retire(first.witnesses[0])
        self.apply(first)
        self.run_for(0.5)
        self.assertNotIn(first.witnesses[0], self.admits.pop().witnesses)

    def test_repeated_request_does_not_lead_to_another(self):
        """Another node may append the record as well."""
        self.admit()
        self.retire(self.list_witnesses()[0])
        request = self.await_request()
        self.apply(request)
        self.apply(request)
        self.retire(request.witnesses[0])
        self.run_for(1.0)
        self.assertEqual(self.admits, [])

    def test_request_that_was_not_appended_is_made_again_at_once(self):
        """The log was away; nothing else will bring the lease."""
        self.admit()
        self.retire(self.list_witnesses()[0])
        self.core.note_unwritten(self.await_request())
        self.run_for(0.5)
        self.assertEqual(len(self.admits), 1)

    def test_lease_that_lost_its_witnesses_is_replaced_early(self):
        """It can be promised no more, although it was requested a moment ago."""
        self.admit()
        self.retire(self.list_witnesses()[0])
        request = self.await_request()
        self.apply(request)
        for name in request.witnesses[:2]:
            self.retire(name)
        self.run_for(APPEND_RETRY_INTERVAL_S + 0.3)
        self.assertEqual(len(self.admits), 1)
        self.assertLess(APPEND_RETRY_INTERVAL_S, READMIT_INTERVAL_S)

    def test_members_that_are_reported_to_have_left_are_chosen_last(self):
        """They would never promise the lease."""
        gone = OTHERS[:3]
        for name in gone:
            message = LeaseFenced(lease=LeaseId(name, 1))
            self.note(self.core.receive(OTHERS[5], message, now=self.now))
        self.run_for(0.1)
        self.assertCountEqual(self.admits.pop().witnesses, OTHERS[3:])


if __name__ == "__main__":
    unittest.main()
