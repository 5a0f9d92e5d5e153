"""Tests of how nodes learn which requests crash upstreams."""

import unittest

from papayatack.core.ownership import dump_state, load_state
from papayatack.core.ownership.suspicions import Standing, Suspect
from papayatack.core.quarantine import Fingerprints, Suspicion, VerdictKind
from papayatack.core.records import ReportSuspects
from tests.core.ownership.test_failures import make_fleet

STABLE_S = 3.0
CRASHING = Fingerprints(broad="b1", exact="e1")
INNOCENT = Fingerprints(broad="b2", exact="e2")


def build_suspect(fingerprints, core):
    """Return a request that a node sends with what it knows now."""
    broad, exact = (
        _build_standing(fingerprint, core)
        for fingerprint in (fingerprints.broad, fingerprints.exact)
    )
    return Suspect(
        broad=broad,
        exact=exact,
        head=f"head-{fingerprints.broad}",
        service="s",
        caller="papers",
        request_id="r",
    )


def _build_standing(fingerprint, core):
    known = core.context.quarantine.find(fingerprint)
    if known is None:
        return Standing(fingerprint=fingerprint)
    return Standing(
        fingerprint=fingerprint, generation=known.generation, rounds=known.rounds
    )


def crash(fleet, name, *fingerprints, suspects=None):
    """Crash the upstream of a node with requests in flight."""
    slot = fleet.slots[name]
    now = slot.read_clock(fleet.now)
    found = suspects or [build_suspect(item, slot.core) for item in fingerprints]
    fleet._carry_out(slot, slot.core, slot.core.report_crash(f"up-{name}", found, now))


def end(fleet, name, fingerprints):
    """Have a request end at the upstream of a node."""
    slot = fleet.slots[name]
    names = (fingerprints.broad, fingerprints.exact)
    now = slot.read_clock(fleet.now)
    effects = slot.core.clear_suspicions(names, "r", now)
    fleet._carry_out(slot, slot.core, effects)


def judge(fleet, fingerprints=CRASHING):
    """Return the kinds of the verdicts of all running nodes."""
    return {
        slot.core.context.quarantine.judge(
            fingerprints, slot.read_clock(fleet.now)
        ).kind
        for slot in fleet.slots.values()
        if slot.core is not None
    }


class SpreadTests(unittest.TestCase):
    """Who knows of a request after its third crash, and how soon."""

    def crash_thrice(self, fleet, *, apart_s=0.2):
        """Have the same request crash the upstreams of three nodes in turn."""
        for name in "abc":
            crash(fleet, name, CRASHING)
            fleet.run(apart_s)

    def test_all_nodes_refuse_it_at_once(self):
        fleet = make_fleet()
        self.crash_thrice(fleet)
        self.assertEqual(judge(fleet), {VerdictKind.REFUSED})

    def test_all_nodes_refuse_it_while_the_log_is_away(self):
        fleet = make_fleet()
        fleet.log_up = False
        self.crash_thrice(fleet)
        self.assertEqual(judge(fleet), {VerdictKind.REFUSED})

    def test_nodes_whose_links_are_cut_learn_it_from_the_log(self):
        fleet = make_fleet()
        fleet.isolate("a", others="def")
        fleet.isolate("b", others="def")
        fleet.isolate("c", others="def")
        self.crash_thrice(fleet)
        fleet.run(STABLE_S - 0.6)
        self.assertEqual(judge(fleet), {VerdictKind.REFUSED})

    def test_lost_and_repeated_messages_do_not_hide_it(self):
        fleet = make_fleet(seed=3)
        fleet.drop = fleet.duplicate = 0.4
        fleet.log_up = False
        self.crash_thrice(fleet, apart_s=20.0)
        self.assertEqual(judge(fleet), {VerdictKind.REFUSED})

    def test_all_nodes_that_start_again_at_once_know_it_before_they_serve(self):
        fleet = make_fleet()
        self.crash_thrice(fleet)
        fleet.run(1.0)
        for name in fleet.slots:
            fleet.start(name, state=load_state(dump_state(fleet.truth)))
        self.assertEqual(judge(fleet), {VerdictKind.REFUSED})

    def test_node_that_starts_after_the_log_returned_knows_it(self):
        fleet = make_fleet()
        fleet.log_up = False
        self.crash_thrice(fleet)
        fleet.run(5.0)
        fleet.log_up = True
        fleet.run(STABLE_S)
        fleet.start("f", state=load_state(dump_state(fleet.truth)))
        self.assertEqual(judge(fleet), {VerdictKind.REFUSED})

    def test_reports_of_nodes_that_are_lost_reach_the_log(self):
        fleet = make_fleet()
        fleet.log_up = False
        self.crash_thrice(fleet)
        for name in "abc":
            fleet.kill(name)
        fleet.log_up = True
        fleet.run(10.0)
        self.assertTrue(fleet.truth.suspicions.find(CRASHING.exact).is_quarantined)
        fleet.check_agreement()

    def test_few_records_are_written_for_a_crash(self):
        fleet = make_fleet()
        before = len(fleet.log)
        crash(fleet, "a", CRASHING, INNOCENT)
        fleet.run(10.0)
        found = [item for item in fleet.log[before:] if type(item) is ReportSuspects]
        self.assertEqual(len(found), 1)


class GuiltTests(unittest.TestCase):
    """Requests that were in flight at crashes and did not cause them."""

    def test_crashes_at_the_same_time_are_one_round(self):
        fleet = make_fleet()
        suspects = {
            name: [build_suspect(INNOCENT, fleet.slots[name].core)] for name in "abcd"
        }
        for name, found in suspects.items():
            crash(fleet, name, suspects=found)
        fleet.run(0.2)
        self.assertEqual(judge(fleet, INNOCENT), {VerdictKind.ALONE})

    def test_popular_request_that_ends_somewhere_is_free_everywhere(self):
        fleet = make_fleet()
        for _ in range(6):
            for name in "abc":
                crash(fleet, name, INNOCENT)
                end(fleet, "d", INNOCENT)
                fleet.run(0.1)
                end(fleet, "e", INNOCENT)
                fleet.run(0.1)
                self.assertEqual(judge(fleet, INNOCENT), {VerdictKind.FREE})

    def test_two_such_requests_are_told_apart(self):
        fleet = make_fleet()
        other = Fingerprints(broad="b3", exact="e3")
        for first, second in ("ab", "cd", "ef"):
            crash(fleet, first, CRASHING)
            crash(fleet, second, other)
            fleet.run(0.2)
            end(fleet, first, INNOCENT)
        self.assertEqual(judge(fleet), {VerdictKind.REFUSED})
        self.assertEqual(judge(fleet, other), {VerdictKind.REFUSED})
        self.assertEqual(judge(fleet, INNOCENT), {VerdictKind.FREE})

    def test_request_whose_key_changes_each_time_is_refused(self):
        fleet = make_fleet()
        for number, name in enumerate("abc"):
            crash(fleet, name, Fingerprints(broad="b1", exact=f"e{number}"))
            fleet.run(0.2)
        later = Fingerprints(broad="b1", exact="e9")
        self.assertEqual(judge(fleet, later), {VerdictKind.REFUSED})

    def test_lifted_request_may_run_again_on_all_nodes(self):
        fleet = make_fleet()
        for name in "abc":
            crash(fleet, name, CRASHING)
            fleet.run(0.2)
        end(fleet, "f", CRASHING)
        fleet.run(0.2)
        self.assertEqual(judge(fleet), {VerdictKind.FREE})
        fleet.check_agreement()


class MalformedTests(unittest.TestCase):
    """Reports that no node writes."""

    def test_malformed_report_changes_nothing_and_ends_no_node(self):
        fleet = make_fleet()
        valid = {
            "fingerprint": "f",
            "head": "h",
            "service_name": "s",
            "caller": "c",
            "rounds": 3,
        }
        for changes in (
            {"rounds": -1},
            {"generation": 2**60},
            {"fingerprint": ""},
            {"caller": "x" * 1000},
            {"upstreams": ("u",) * 100},
        ):
            with self.subTest(changes=changes):
                suspicion = Suspicion(**{**valid, **changes})
                record = ReportSuspects(
                    record_id=str(changes), writer="a", suspicions=(suspicion,)
                )
                fleet.append(record)
                fleet.run(0.2)
                self.assertIsNone(fleet.truth.suspicions.find("f"))
        fleet.check_agreement()
