"""Tests of papayatack.core.admission.cold_limit."""

import unittest

import hypothesis
from hypothesis import strategies as st

from papayatack.core.admission.cold_limit import (
    QUESTION_PAUSE_S,
    RETURN_S,
    WINDOW_S,
    ColdBounds,
    ColdLimit,
    ColdSource,
)

START_S = 6.0
BOUNDS = ColdBounds(requests_per_s=6.0, start_s=START_S, overrun=1.5, slack=8.0)
LIMIT = 9
UNPROVEN_LIMIT = 15
MOST_IN_A_SECOND = 17
"""What the bounds permit: 6 x 1.5 + 8."""


def build_limit(now=0.0, bounds=BOUNDS):
    """Return a limit with bounds."""
    limit = ColdLimit(now=now)
    limit.configure(now, bounds)
    return limit


def build_warm_limit(now):
    """Return a limit whose upstream was proven warm at a time."""
    limit = build_limit(now - 100.0)
    answer(limit, now, 0.0)
    return limit


def answer(limit, now, remaining_s):
    """Ask the health check, which answers at once."""
    limit.record_question(now)
    limit.record_answer(now, asked_s=now, remaining_s=remaining_s)


def send(limit, now):
    """Send a request if that is permitted; return whether it is."""
    if not limit.allows(now):
        return False
    limit.reserve()
    limit.record_sent(now)
    return True


def send_all(limit, now):
    """Send all requests that are permitted now; return their number."""
    count = 0
    while count < 100 and send(limit, now):
        count += 1
    return count


class WindowTests(unittest.TestCase):
    """Requests that are permitted."""

    def test_bounds_of_the_example(self):
        self.assertEqual(BOUNDS.limit, LIMIT)
        self.assertEqual(BOUNDS.unproven_limit, UNPROVEN_LIMIT)

    def test_without_bounds_everything_is_permitted(self):
        limit = ColdLimit(now=0.0)
        limit.restart(0.0)
        limit.record_report(0.0, 6.0)
        self.assertEqual(send_all(limit, 0.0), 100)
        self.assertFalse(limit.wants_question(0.0))
        self.assertIsNone(limit.find_rate(0.0))

    def test_cold_upstream_gets_the_limit_in_each_window(self):
        limit = build_limit()
        answer(limit, 2.0, 10.0)
        sent_s = []
        for step in range(800):
            now = 2.0 + step / 100
            sent_s += [now] * send_all(limit, now)
        most = max(sum(at <= x < at + 1.0 for x in sent_s) for at in sent_s)
        self.assertEqual(most, LIMIT)
        self.assertGreaterEqual(len(sent_s), 0.95 * 8.0 / WINDOW_S * LIMIT)

    def test_requests_before_the_news_count(self):
        limit = build_warm_limit(10.0)
        for step in range(12):
            self.assertTrue(send(limit, 10.1 + step / 20))
        limit.record_question(10.7)
        limit.record_answer(10.71, asked_s=10.7, remaining_s=6.0)
        self.assertEqual(send_all(limit, 10.71), 0)
        self.assertEqual(send_all(limit, 10.7 + WINDOW_S - 0.06), LIMIT - 2)

    def test_requests_that_wait_for_a_connection_count(self):
        limit = build_limit()
        answer(limit, 2.0, 60.0)
        for _ in range(LIMIT - 1):
            limit.reserve()
        self.assertFalse(limit.allows(2.0))
        self.assertTrue(limit.allows(2.1 + WINDOW_S))
        for _ in range(LIMIT - 1):
            limit.record_sent(2.1 + WINDOW_S)
        self.assertEqual(send_all(limit, 2.1 + WINDOW_S), 1)

    def test_reserved_request_that_is_not_sent_gives_its_room_back(self):
        limit = build_limit()
        answer(limit, 2.0, 60.0)
        now = 2.0 + 2 * WINDOW_S
        for _ in range(LIMIT):
            limit.reserve()
        self.assertFalse(limit.allows(now))
        limit.cancel_reservation()
        self.assertEqual(limit.count_room(now), 1)

    def test_time_of_room_is_exact_for_a_queue(self):
        limit = build_limit()
        answer(limit, 2.0, 60.0)
        now = 2.0 + 2 * WINDOW_S
        for step in range(LIMIT):
            self.assertTrue(send(limit, now + step / 100))
        now += 0.2
        for ahead in range(3 * LIMIT):
            room_s = limit.find_room(now, ahead=ahead)
            cycles, index = divmod(ahead, LIMIT)
            expected_s = 2.0 + (3 + cycles) * WINDOW_S + index / 100
            self.assertAlmostEqual(room_s, expected_s)
        room_s = limit.find_room(now)
        self.assertFalse(limit.allows(room_s - 0.001))
        self.assertTrue(limit.allows(room_s))

    def test_node_that_starts_does_not_know_what_was_sent_before(self):
        limit = build_limit(10.0)
        self.assertFalse(limit.allows(10.0))
        self.assertFalse(limit.allows(10.0 + WINDOW_S - 0.01))
        self.assertEqual(send_all(limit, 10.01 + WINDOW_S), LIMIT)

    def test_bounds_that_come_late_count_earlier_requests(self):
        limit = ColdLimit(now=0.0)
        send_all(limit, 50.0)
        limit.configure(50.1, BOUNDS)
        self.assertFalse(limit.allows(50.9))

    def test_smallest_bounds_permit_single_requests(self):
        bounds = ColdBounds(requests_per_s=0.2)
        limit = build_limit(bounds=bounds)
        answer(limit, 0.0, 60.0)
        self.assertEqual(send_all(limit, 5.0), 1)

    def test_times_that_are_kept_are_bounded(self):
        limit = build_warm_limit(10.0)
        for step in range(10_000):
            limit.reserve()
            limit.record_sent(10.0 + step)
        self.assertEqual(len(limit._sent_s), UNPROVEN_LIMIT)


class ProofTests(unittest.TestCase):
    """Warm upstreams, whose coldness may begin at any moment."""

    def test_answers_permit_any_rate(self):
        limit = build_warm_limit(10.0)
        for step in range(2_000):
            now = 10.0 + step / 200
            self.assertTrue(send(limit, now), now)
            if limit.wants_question(now):
                answer(limit, now, 0.0)

    def test_without_answers_the_rate_is_limited(self):
        limit = build_warm_limit(10.0)
        sent = sum(send(limit, 10.0 + step / 100) for step in range(1_200))
        self.assertLessEqual(sent, 11 * UNPROVEN_LIMIT)

    def test_questions_are_asked_by_need(self):
        """At 30 requests/s after every tenth or eleventh; at 8 requests/s never."""
        for rate, least, most in ((30.0, 24, 30), (8.0, 0, 0)):
            limit = build_warm_limit(10.0)
            questions = 0
            for step in range(int(rate * 10)):
                now = 12.0 + step / rate
                self.assertTrue(send(limit, now))
                if limit.wants_question(now):
                    questions += 1
                    answer(limit, now + 0.001, 0.0)
            self.assertTrue(least <= questions <= most, questions)

    def test_proof_counts_from_the_question(self):
        limit = build_warm_limit(10.0)
        limit.record_question(10.5)
        self.assertEqual(send_all(limit, 10.6), UNPROVEN_LIMIT - 2)
        limit.record_answer(10.7, asked_s=10.5, remaining_s=0.0)
        self.assertEqual(send_all(limit, 10.7), 1)

    def test_question_without_answer_is_repeated_after_a_pause(self):
        limit = build_limit()
        limit.record_question(0.0)
        self.assertFalse(limit.wants_question(0.2))
        limit.record_failure(0.3)
        self.assertFalse(limit.wants_question(0.3))
        self.assertTrue(limit.wants_question(0.3 + QUESTION_PAUSE_S))

    def test_answer_without_a_time_proves_but_ends_no_coldness(self):
        limit = build_limit(100.0)
        answer(limit, 100.0, None)
        self.assertTrue(limit.is_cold(100.1))
        limit = build_warm_limit(10.0)
        send_all(limit, 10.0)
        answer(limit, 10.1, None)
        self.assertTrue(limit.allows(10.1))


class NewsTests(unittest.TestCase):
    """How coldness begins, lasts and ends."""

    def test_start_is_cold_until_the_health_check_says_otherwise(self):
        limit = build_limit(100.0)
        self.assertTrue(limit.is_cold(100.0 + START_S - 0.01))
        self.assertTrue(limit.wants_question(100.0))
        self.assertIs(limit.describe(100.0).source, ColdSource.START)
        answer(limit, 100.1, 0.0)
        self.assertFalse(limit.is_cold(100.1))
        self.assertIsNone(limit.find_rate(100.1))

    def test_start_is_over_in_time_without_any_answer(self):
        limit = build_limit(100.0)
        self.assertFalse(limit.is_cold(100.0 + START_S))
        state = limit.describe(100.0 + START_S)
        self.assertIs(state.source, ColdSource.TIME)

    def test_heartbeat_extends(self):
        limit = build_warm_limit(10.0)
        limit.record_report(20.0, 5.0)
        self.assertTrue(limit.is_cold(24.9))
        self.assertTrue(limit.wants_question(20.0))
        limit.record_report(22.0, 6.0)
        self.assertTrue(limit.is_cold(27.9))
        self.assertIs(limit.describe(23.0).source, ColdSource.HEARTBEAT)

    def test_heartbeat_ends_nothing_but_has_the_health_check_asked(self):
        limit = build_limit(100.0)
        answer(limit, 100.0, 6.0)
        limit.record_report(101.0, 5.0)
        self.assertFalse(limit.wants_question(101.0))
        limit.record_report(101.5, 0.0)
        self.assertTrue(limit.is_cold(101.5))
        self.assertTrue(limit.wants_question(101.5))
        answer(limit, 101.6, 1.0)
        self.assertTrue(limit.is_cold(102.5))
        self.assertFalse(limit.is_cold(102.7))

    def test_answer_to_a_question_before_the_restart_counts_for_nothing(self):
        limit = build_warm_limit(10.0)
        limit.record_question(20.0)
        limit.restart(20.1)
        limit.record_answer(20.2, asked_s=20.0, remaining_s=0.0)
        self.assertTrue(limit.is_cold(20.2))
        self.assertTrue(limit.wants_question(20.2))

    def test_heartbeat_during_a_question_is_not_overruled_by_its_answer(self):
        limit = build_warm_limit(10.0)
        limit.record_question(20.0)
        limit.record_report(20.1, 6.0)
        limit.record_answer(20.2, asked_s=20.0, remaining_s=0.0)
        self.assertTrue(limit.is_cold(20.2))
        self.assertTrue(limit.wants_question(20.2))

    def test_rate_for_the_planner_rises_after_a_coldness(self):
        limit = build_warm_limit(10.0)
        answer(limit, 20.0, 6.0)
        self.assertEqual(limit.find_rate(25.0), 6.0)
        self.assertAlmostEqual(limit.find_rate(27.0), 12.0)
        self.assertAlmostEqual(limit.find_rate(29.0), 48.0)
        self.assertIsNone(limit.find_rate(26.0 + RETURN_S))


STEP = st.one_of(
    st.tuples(st.just("wait"), st.floats(0.001, 1.5)),
    st.tuples(st.just("wait"), st.floats(0.001, 0.05)),
    st.tuples(st.just("admit"), st.integers(1, 20)),
    st.tuples(st.just("send"), st.integers(1, 20)),
    st.tuples(st.just("drop"), st.integers(1, 20)),
    st.tuples(st.just("ask"), st.none()),
    st.tuples(st.just("look"), st.none()),
    st.tuples(st.just("answer"), st.booleans()),
    st.tuples(st.just("beat"), st.floats(0.0, 5.0)),
    st.tuples(st.just("cool"), st.floats(0.1, 8.0)),
    st.tuples(st.just("restart"), st.booleans()),
    st.tuples(st.just("kill"), st.none()),
    st.tuples(st.just("suspect"), st.none()),
)


class _Play:
    """A limit beside an upstream whose true coldness is known.

    Requests are admitted, sent later or dropped; the health check looks at the upstream
    some time after it was asked, and its answer takes some time or is lost; heartbeats
    are up to 5 s old; the upstream becomes cold at any moment and starts again with or
    without the node's notice; the node is killed and starts again.
    """

    def __init__(self):
        self.now = 0.0
        self.limit = build_limit()
        self.reserved = 0
        self.question = None
        self.cold = []
        self.sent_s = []

    def find_remaining(self, at_s):
        """Return what the upstream says of its coldness at a time."""
        return max((end - at_s for start, end in self.cold if start <= at_s), default=0)

    def wait(self, duration_s):
        """Let time pass."""
        self.now += duration_s

    def admit(self, count):
        """Reserve as many requests as are permitted, up to a number."""
        while count and self.limit.allows(self.now):
            self.limit.reserve()
            self.reserved += 1
            count -= 1

    def send(self, count):
        """Send reserved requests."""
        for _ in range(min(count, self.reserved)):
            self.reserved -= 1
            self.limit.record_sent(self.now)
            self.sent_s.append(self.now)

    def drop(self, count):
        """Drop reserved requests."""
        for _ in range(min(count, self.reserved)):
            self.reserved -= 1
            self.limit.cancel_reservation()

    def ask(self, _):
        """Ask the health check if that is wanted."""
        if self.question is None and self.limit.wants_question(self.now):
            self.limit.record_question(self.now)
            self.sent_s.append(self.now)
            self.question = [self.now, None]

    def look(self, _):
        """Let the health check look at the upstream."""
        if self.question is not None and self.question[1] is None:
            self.question[1] = max(0.0, self.find_remaining(self.now))

    def answer(self, is_lost):
        """Let the answer arrive, or get lost."""
        if self.question is None:
            return
        asked_s, remaining_s = self.question
        self.question = None
        if is_lost or remaining_s is None:
            self.limit.record_failure(self.now)
            return
        self.limit.record_answer(self.now, asked_s=asked_s, remaining_s=remaining_s)

    def beat(self, age_s):
        """Let a heartbeat arrive that is some seconds old."""
        remaining_s = max(0.0, self.find_remaining(self.now - age_s))
        self.limit.record_report(self.now, remaining_s)

    def cool(self, duration_s):
        """Let the upstream become cold."""
        self.cold.append((self.now, self.now + duration_s))

    def restart(self, is_noticed):
        """Let the upstream start again."""
        self.cool(START_S)
        if is_noticed:
            self.limit.restart(self.now)

    def kill(self, _):
        """Replace the node by another that knows nothing."""
        self.limit = build_limit(self.now)
        self.reserved = 0
        self.question = None

    def suspect(self, _):
        """Let a connection be refused."""
        self.limit.request_question()

    def find_most(self):
        """Return the most requests in any second of a coldness."""
        return max(
            (
                sum(at_s <= other_s < min(at_s + 1.0, end) for other_s in self.sent_s)
                for start, end in self.cold
                for at_s in self.sent_s
                if start <= at_s < end
            ),
            default=0,
        )


class AnyOrderTests(unittest.TestCase):
    """Any order of requests, news and failures."""

    @hypothesis.settings(max_examples=600)
    @hypothesis.given(steps=st.lists(STEP, min_size=20, max_size=120))
    def test_no_second_of_a_coldness_has_more_requests_than_permitted(self, steps):
        """Neither the rate nor the time that any news takes matters."""
        play = _Play()
        for name, argument in steps:
            getattr(play, name)(argument)
        self.assertLessEqual(play.find_most(), MOST_IN_A_SECOND)

    @hypothesis.settings(max_examples=200)
    @hypothesis.given(
        rate=st.floats(1.0, 400.0),
        delay_s=st.floats(0.0, 0.3),
        cold_s=st.floats(3.0, 6.0),
        phase=st.floats(0.0, 1.0),
    )
    def test_any_rate_and_delay_of_answers(self, rate, delay_s, cold_s, phase):
        """A steady rate, and a coldness that begins at any moment of it."""
        play = _Play()
        play.wait(100.0)
        play.ask(None)
        play.look(None)
        play.answer(False)
        begins_s = 103.0 + phase
        answer_s = 0.0
        while play.now < 106.0:
            if play.now >= begins_s and not play.cold:
                play.cool(cold_s)
            play.admit(1)
            play.send(1)
            if play.question is not None and play.now >= answer_s:
                play.answer(False)
            if play.question is None:
                play.ask(None)
                play.look(None)
                answer_s = play.now + delay_s
            play.wait(1.0 / rate)
        self.assertLessEqual(play.find_most(), MOST_IN_A_SECOND)
