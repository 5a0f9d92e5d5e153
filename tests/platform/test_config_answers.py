"""Tests of the judgement on answers of real nodes to changes of the configuration."""

import unittest

from tests.fakes.config_answers import Answer, Change, History, find_faults, list_delays
from tests.fakes.process_fleet import Span


def answer(sent_s, status, *, asked="added", number=2, service="", life=1):
    """Return an answer after a hundredth of a second."""
    return Answer(
        node=3,
        life=life,
        asked=asked,
        number=number,
        request_id="r",
        sent_s=sent_s,
        ended_s=sent_s + 0.01,
        status=status,
        service=service,
    )


class ConfigAnswerTests(unittest.TestCase):
    """Answers of one node; the second configuration is stored at 10 s."""

    def find(self, *answers, **spans):
        """Return the kinds of the faults."""
        self.history = History(
            changes=[
                Change(number=1, service="papers", stored_s=0.0),
                Change(number=2, service="sheets", stored_s=10.0),
            ],
            answers=list(answers),
            **spans,
        )
        return [(fault.kind, fault.is_own) for fault in find_faults(self.history)]

    def test_route_must_be_there_in_time(self):
        """It may lack for two seconds."""
        self.assertEqual(self.find(answer(11.9, 404)), [])
        self.assertEqual(list_delays(self.history)[2], 11.9 - 10.0)
        late = [("not in force in time", False)]
        self.assertEqual(self.find(answer(12.1, 404)), late)

    def test_node_out_of_touch_may_lack_it(self):
        """It is in touch three seconds after the end of a disturbance."""
        for spans in (
            {"store_spans": [Span(2, 9.5)]},
            {"node_spans": {3: [Span(9.5)]}},
        ):
            self.assertEqual(self.find(answer(12.4, 404), **spans), [])
        found = self.find(answer(12.6, 404), store_spans=[Span(2, 9.5)])
        self.assertEqual(found, [("not in force in time", False)])

    def test_old_service_of_a_moved_route_is_late(self):
        """The new service and none at all are not."""
        for service, count in (("papers", 1), ("sheets", 0), ("", 0)):
            moved = answer(12.1, 200, asked="moving", service=service)
            self.assertEqual(len(self.find(moved)), count, service)

    def test_own_standstill_is_told_from_a_late_node(self):
        """It is still found."""
        found = self.find(answer(12.1, 404), stalls=[Span(10.5, 11)])
        self.assertEqual(found, [("not in force in time", True)])

    def test_version_must_not_come_back_older_within_a_life(self):
        """The next life may begin with an older one."""
        shown = answer(10.5, 200)
        self.assertEqual(self.find(shown, answer(10.7, 404)), [])
        older = [("older again", False)]
        self.assertEqual(self.find(shown, answer(10.8, 404)), older)
        self.assertEqual(self.find(shown, answer(10.8, 404, life=2)), [])

    def test_invalid_configuration_must_not_be_in_force(self):
        """Any answer but 404 on its route shows that it is."""
        found = self.find(answer(5, 200, asked="invalid", number=1))
        self.assertEqual(found, [("invalid in force", False)])

    def test_added_routes_must_be_served_about_as_often_as_the_first(self):
        """A quarter as often is enough."""
        first = [answer(20, 200, asked="first", number=0)] * 20
        for served, count in ((5, 0), (4, 1)):
            added = [answer(20, 200)] * served + [answer(20, 503)] * (20 - served)
            self.assertEqual(len(self.find(*first, *added)), count)
