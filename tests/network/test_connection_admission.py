"""Tests of papayatack.network.connection_admission."""

import unittest

from papayatack.network.connection_admission import (
    MIN_REST_S,
    Admission,
    ConnectionTable,
    Rest,
)

LIMIT = 32


class FakeConnection:
    """A connection that may wait for a request."""

    def __init__(self, rest=None):
        self.rest = rest
        self.is_closed = False

    def close_at_rest(self):
        """Note that the connection was closed."""
        self.is_closed = True


def build_resting(since_s, *, has_served=True):
    """Return a connection that waits for a request."""
    return FakeConnection(Rest(has_served=has_served, since_s=since_s))


class ConnectionTableTests(unittest.TestCase):
    """A table with room for 32 connections."""

    def setUp(self):
        self.table = ConnectionTable()

    def fill(self, connections, now=10.0):
        """Add connections; return what becomes of them."""
        return [self.table.add(now, connection, LIMIT) for connection in connections]

    def test_connection_that_never_sent_a_request_gives_way_first(self):
        connections = [build_resting(1.0 + number / 100) for number in range(LIMIT)]
        connections[7] = build_resting(9.0, has_served=False)
        self.fill(connections)
        self.assertEqual(self.fill([FakeConnection()]), [Admission.ACCEPTED])
        closed = [item for item in connections if item.is_closed]
        self.assertEqual(closed, [connections[7]])

    def test_longest_at_rest_gives_way_next(self):
        connections = [build_resting(5.0 - number / 100) for number in range(LIMIT)]
        self.fill(connections)
        self.fill([FakeConnection()])
        self.assertTrue(connections[-1].is_closed)

    def test_connections_with_requests_in_flight_stay(self):
        """Some newcomers are told that there are too many, the others closed."""
        connections = [FakeConnection() for _ in range(LIMIT)]
        self.fill(connections)
        found = self.fill([FakeConnection() for _ in range(10)])
        self.assertEqual(found.count(Admission.REJECTED), LIMIT // 16)
        self.assertEqual(found.count(Admission.CLOSED), 10 - LIMIT // 16)
        self.assertFalse(any(item.is_closed for item in connections))

    def test_connection_that_has_just_come_stays(self):
        connections = [build_resting(10.0) for _ in range(LIMIT)]
        self.fill(connections)
        found = self.table.add(10.0 + MIN_REST_S / 2, FakeConnection(), LIMIT)
        self.assertIs(found, Admission.REJECTED)

    def test_place_of_a_closed_connection_is_free(self):
        connections = [FakeConnection() for _ in range(LIMIT)]
        self.fill(connections)
        self.table.discard(connections[0])
        self.assertEqual(self.fill([FakeConnection()]), [Admission.ACCEPTED])
        self.assertEqual(len(self.table), LIMIT)
