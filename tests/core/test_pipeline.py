"""Tests of papayatack.core.pipeline."""

import unittest

import hypothesis
from hypothesis import strategies

from papayatack.core.pipeline import Obstacle, Pipeline
from tests.fakes.pipelined import Connection, Play, Sent, limit

LIMITS = limit(3, 100)
READS = 5
WORK_S = 0.2
TARGET_S = 0.619
SLOTS = 240
CALLERS = 200
SENDS = 6
INTERVAL_S = 1.6
MAX_SIZE = 60

requests = strategies.builds(
    Sent,
    at_s=strategies.sampled_from([0.0, 0.0, 0.1, 0.5, 1.0]),
    work_s=strategies.sampled_from([0.0, 0.1, 0.4, 1.5]),
    size=strategies.integers(0, MAX_SIZE),
    is_repeatable=strategies.sampled_from([True, True, True, False]),
    closes=strategies.sampled_from([False] * 9 + [True]),
    is_cut=strategies.sampled_from([False] * 9 + [True]),
)


def sort_sent(sent):
    """Return requests in the order in which they come on a connection."""
    times = sorted(request.at_s for request in sent)
    return [
        Sent(
            at_s=at_s,
            work_s=request.work_s,
            size=request.size,
            is_repeatable=request.is_repeatable,
            closes=request.closes,
            is_cut=request.is_cut,
        )
        for at_s, request in zip(times, sent, strict=True)
    ]


def answer_one_at_a_time(sent):
    """Return the numbers of the requests answered by a naive server, in order."""
    answered = []
    for number, request in enumerate(sent):
        if request.is_cut:
            break
        answered.append(number)
        if request.closes:
            break
    return answered


class ObstacleTests(unittest.TestCase):
    """What may be read, and what starts."""

    def setUp(self):
        self.pipeline = Pipeline()

    def find(self, *, beside=True, **conditions):
        """Return why nothing is read."""
        return self.pipeline.find_obstacle(
            LIMITS, last_runs_beside=lambda: beside, **conditions
        )

    def test_first_request_has_no_obstacle(self):
        """Whatever else is in short supply, and nobody asks what it is."""
        found = self.pipeline.find_obstacle(
            LIMITS, last_runs_beside=self.fail, has_node_room=False, is_draining=True
        )
        self.assertIsNone(found)
        self.assertTrue(self.pipeline.add(runs_beside=False))

    def test_number(self):
        """As many are in flight as allowed, then one fewer."""
        for _ in range(LIMITS.requests):
            self.assertIsNone(self.find())
            self.assertTrue(self.pipeline.add(runs_beside=True))
        self.assertIs(self.find(), Obstacle.NUMBER)
        self.pipeline.end_first()
        self.assertIsNone(self.find())

    def test_bytes(self):
        """They count over the connection, until they are released."""
        self.pipeline.add(runs_beside=True)
        self.pipeline.hold(60)
        self.assertIsNone(self.find())
        self.assertTrue(self.pipeline.may_hold(LIMITS.held_bytes))
        self.pipeline.hold(40)
        self.assertIs(self.find(), Obstacle.BYTES)
        self.assertFalse(self.pipeline.may_hold(LIMITS.held_bytes))
        self.pipeline.release(1)
        self.assertIsNone(self.find())

    def test_conditions_of_the_node(self):
        """A shutdown goes before a lack of room."""
        self.pipeline.add(runs_beside=True)
        self.assertIs(self.find(has_node_room=False), Obstacle.NODE)
        found = self.find(has_node_room=False, is_draining=True)
        self.assertIs(found, Obstacle.DRAINING)

    def test_alone(self):
        """It starts when all before it have ended; nothing is read behind it."""
        self.pipeline.add(runs_beside=True)
        self.pipeline.add(runs_beside=True)
        self.assertFalse(self.pipeline.add(runs_beside=False))
        self.assertIs(self.find(), Obstacle.ALONE)
        self.assertFalse(self.pipeline.end_first())
        self.assertTrue(self.pipeline.end_first())
        self.assertIs(self.find(beside=False), Obstacle.ALONE)
        self.assertFalse(self.pipeline.end_first())
        self.assertIsNone(self.find())

    def test_end_of_reading(self):
        """Nothing more is read, also once all have been answered."""
        self.pipeline.add(runs_beside=True)
        self.pipeline.end_reading()
        self.assertIs(self.find(), Obstacle.LAST)
        self.pipeline.end_first()
        self.assertIs(self.find(), Obstacle.LAST)


class ScheduleTests(unittest.TestCase):
    """Any schedule of requests, beside a naive server that runs one at a time."""

    @hypothesis.settings(max_examples=500)
    @hypothesis.given(
        sent=strategies.lists(requests, max_size=12).map(sort_sent),
        most=strategies.integers(1, 5),
        slots=strategies.integers(1, 4),
    )
    def test_same_responses_in_the_same_order(self, sent, most, slots):
        """What may not be repeated runs once, alone, and only if all before ended."""
        play = Play(slots=slots)
        connection = Connection(
            play=play, sent=list(sent), limits=limit(most, 2 * MAX_SIZE)
        )
        play.finish()
        answered = [number for number, _ in connection.answered]
        self.assertEqual(answered, answer_one_at_a_time(sent))
        self.assertEqual(connection.begun, list(range(len(connection.begun))))
        self.assertLess(connection.most_held_bytes, 3 * MAX_SIZE)
        for number, beside in connection.beside.items():
            self.assertLess(len(beside), most)
            if not sent[number].is_repeatable:
                self.assertEqual(beside, [])
            for other in beside:
                self.assertTrue(sent[other].is_repeatable)

    @hypothesis.settings(max_examples=300)
    @hypothesis.given(
        sent=strategies.lists(requests, max_size=12).map(sort_sent),
        drain_at_s=strategies.sampled_from([0.0, 0.05, 0.3, 0.7, 1.2]),
    )
    def test_shutdown_answers_what_has_begun(self, sent, drain_at_s):
        """Nothing is begun ahead any more; what is not answered has not begun."""
        play = Play(drain_at_s=drain_at_s)
        connection = Connection(play=play, sent=list(sent), limits=limit(4))
        play.finish()
        answered = [number for number, _ in connection.answered]
        naive = answer_one_at_a_time(sent)
        self.assertEqual(answered, naive[: len(answered)])
        if len(answered) < len(naive):
            self.assertEqual(connection.begun, answered)


class LoadTests(unittest.TestCase):
    """Load: 200 callers each send five reads of 0.2 s together, every 1.6 s.

    That is 625 reads a second, which need 125 of the 240 slots.
    """

    def play(self, most):
        """Return the share of the reads that are answered within their target."""
        play = Play(slots=SLOTS)
        connections = []
        for caller in range(CALLERS):
            begin_s = INTERVAL_S * caller / CALLERS
            times = [begin_s + INTERVAL_S * send for send in range(SENDS)]
            sent = [Sent(at_s=at, work_s=WORK_S) for at in times for _ in range(READS)]
            connections.append(
                (sent, Connection(play=play, sent=list(sent), limits=limit(most)))
            )
        play.finish()
        took_s = [
            at_s - sent[number].at_s
            for sent, connection in connections
            for number, at_s in connection.answered
        ]
        self.assertEqual(len(took_s), CALLERS * READS * SENDS)
        self.assertLessEqual(play.most_running, SLOTS)
        return sum(each <= TARGET_S for each in took_s) / len(took_s)

    def test_reads_sent_ahead_are_answered_within_their_target(self):
        """One at a time, the fourth and fifth of each five are late."""
        self.assertAlmostEqual(self.play(1), 0.6)
        self.assertEqual(self.play(16), 1.0)
