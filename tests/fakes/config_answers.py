"""Judges answers of nodes by the configurations that the store had at that time."""

import dataclasses

from tests.fakes.process_fleet import is_touched

__all__ = [
    "Answer",
    "Change",
    "Fault",
    "History",
    "find_faults",
    "list_checked",
    "list_delays",
]

CONFIG_APPLY_S = 2.0
STABLE_WINDOW_S = 3.0
ROLLBACK_SLACK_S = 0.25
MIN_SERVED_SHARE = 0.25
"""How often added routes are served at least, relative to the first ones."""

MIN_ASKED = 20
NOT_FOUND = 404
OK = 200


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Change:
    """A configuration in the store.

    Attributes:
        number: Rises by one with each.
        service: Service to which it sends the route that moves.
        stored_s: When it was appended.
    """

    number: int
    service: str
    stored_s: float


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Answer:
    """What a node answered to one request.

    Attributes:
        node: Number of the machine.
        life: Which life of its process was asked.
        asked: Kind of the route: ``added``, ``moving``, ``invalid`` or ``first``.
        number: Number of the configuration that added the route, or was to add it.
        request_id: The request's id.
        sent_s: When it was sent.
        ended_s: When the answer was there.
        status: Status of the answer.
        service: Service that ran the request; empty if none did.
    """

    node: int
    life: int
    asked: str
    number: int
    request_id: str
    sent_s: float
    ended_s: float
    status: int
    service: str


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Fault:
    """An answer that breaks a rule.

    Attributes:
        kind: What is wrong.
        answer: The answer.
        delay_s: Time from the change to the request.
        is_own: Whether the process that asked, which serves the store too, stood still
            in between.
    """

    kind: str
    answer: Answer
    delay_s: float
    is_own: bool = False


@dataclasses.dataclass(slots=True, kw_only=True)
class History:
    """What happened.

    Attributes:
        changes: The configurations in order.
        answers: The answers in the order in which they came.
        store_spans: When the store was disturbed.
        node_spans: When each node was.
        stalls: When the process that asks stood still.
    """

    changes: list[Change] = dataclasses.field(default_factory=list)
    answers: list[Answer] = dataclasses.field(default_factory=list)
    store_spans: list = dataclasses.field(default_factory=list)
    node_spans: dict = dataclasses.field(default_factory=dict)
    stalls: list = dataclasses.field(default_factory=list)

    def is_in_touch(self, node, now):
        """Return whether a node and the store were undisturbed for long enough."""
        spans = (*self.store_spans, *self.node_spans.get(node, ()))
        return not is_touched(spans, now - STABLE_WINDOW_S, now)


def find_faults(history):
    """Return the answers that break a rule."""
    faults = [*_find_late(history), *_find_older(history), *_find_invalid(history)]
    return [*faults, *_find_unserved(history)]


def list_delays(history):
    """Return by change until when a node in touch was asked in vain for its route."""
    stored_s = {change.number: change.stored_s for change in history.changes}
    delays_s = dict.fromkeys(stored_s, 0.0)
    for answer in history.answers:
        if _lacks_route(answer) and history.is_in_touch(answer.node, answer.sent_s):
            delay_s = answer.sent_s - stored_s[answer.number]
            delays_s[answer.number] = max(delays_s[answer.number], delay_s)
    return delays_s


def list_checked(history):
    """Return the nodes of which an answer shows whether the last change was late."""
    last = history.changes[-1]
    return {
        answer.node
        for answer in history.answers
        if answer.asked == "added"
        and answer.number == last.number
        and answer.sent_s > last.stored_s + CONFIG_APPLY_S
        and history.is_in_touch(answer.node, answer.sent_s)
    }


def _lacks_route(answer):
    return answer.asked == "added" and answer.status == NOT_FOUND


def _find_late(history):
    """Yield the answers by older versions than must be in force on nodes in touch."""
    for answer in history.answers:
        due = [
            change
            for change in history.changes
            if change.stored_s + CONFIG_APPLY_S < answer.sent_s
        ]
        if not due or not history.is_in_touch(answer.node, answer.sent_s):
            continue
        if _is_older(answer, due[-1], history.changes):
            overdue = _find_first(answer, due)
            is_own = is_touched(history.stalls, overdue.stored_s, answer.sent_s)
            yield Fault(
                kind="not in force in time",
                answer=answer,
                delay_s=answer.sent_s - overdue.stored_s,
                is_own=is_own,
            )


def _find_first(answer, due):
    """Return the change that the answer lacks."""
    if answer.asked == "added":
        return next(change for change in due if change.number == answer.number)
    return due[-1]


def _is_older(answer, newest_due, changes):
    """Return whether only versions before one allow an answer."""
    if _lacks_route(answer):
        return answer.number <= newest_due.number
    if answer.asked != "moving" or not answer.service:
        return False
    allowed = {
        change.service
        for change in changes
        if change.number >= newest_due.number and change.stored_s <= answer.ended_s
    }
    return answer.service not in allowed


def _find_older(history):
    """Yield the answers by older versions than the same life of a node has shown."""
    shown = {}
    for answer in sorted(history.answers, key=lambda answer: answer.ended_s):
        if answer.asked != "added":
            continue
        life = shown.setdefault((answer.node, answer.life), {})
        if answer.status != NOT_FOUND:
            life.setdefault(answer.number, answer.ended_s)
            continue
        since_s = min(
            (at_s for number, at_s in life.items() if number >= answer.number),
            default=float("inf"),
        )
        if answer.sent_s > since_s + ROLLBACK_SLACK_S:
            delay_s = answer.sent_s - since_s
            yield Fault(kind="older again", answer=answer, delay_s=delay_s)


def _find_invalid(history):
    """Yield the answers that show an invalid configuration in force."""
    for answer in history.answers:
        if answer.asked == "invalid" and answer.status != NOT_FOUND:
            yield Fault(kind="invalid in force", answer=answer, delay_s=0.0)


def _find_unserved(history):
    """Yield a fault if nodes in touch serve added routes too seldom."""
    shares = {}
    for asked in ("added", "first"):
        found = [
            answer
            for answer in history.answers
            if answer.asked == asked and history.is_in_touch(answer.node, answer.sent_s)
        ]
        if len(found) < MIN_ASKED:
            return
        served = sum(answer.status == OK for answer in found)
        shares[asked] = served / len(found)
        last = found[-1]
    if shares["added"] < MIN_SERVED_SHARE * shares["first"]:
        yield Fault(kind="added routes unserved", answer=last, delay_s=0.0)
