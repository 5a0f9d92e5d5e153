"""Tests of papayatack.core.ownership.selection."""

import collections
import unittest

from papayatack.core.ownership.selection import (
    FAN_OUT,
    TailPolicy,
    is_tailer,
    list_tree_children,
)
from papayatack.core.ownership.state import Member, OwnershipState

PLACES = ("east", "west", "south")
POLICY = TailPolicy(small_fleet_size=2, tailers_per_data_centre=1)


def build_state(members):
    """Return a state with so many members."""
    state = OwnershipState()
    for number in range(members):
        name = f"n{number}"
        state.members[name] = Member(
            incarnation=name,
            address=name,
            operator_address=name,
            data_centre=PLACES[number % len(PLACES)],
            region="r",
            service="",
            upstream="",
            slots=0,
            connections=0,
            announced_at=number,
        )
    return state


class FollowerTests(unittest.TestCase):
    """Who passes records on to whom."""

    def test_every_record_reaches_every_node_once(self):
        """Each node that does not follow the log has one that passes records on."""
        for members in (1, 3, 12, 90, 200):
            state = build_state(members)
            passed = collections.Counter()
            for name in state.members:
                followers = list_tree_children(state, name)
                self.assertLessEqual(len(followers), FAN_OUT)
                passed.update(followers)
            roots = {name for name in state.members if name not in passed}
            tailers = {name for name in state.members if is_tailer(state, name, POLICY)}
            self.assertLessEqual(roots, tailers)
            self.assertEqual(len(roots), min(members, len(PLACES)))
            self.assertEqual(set(passed.values()) - {1}, set())
