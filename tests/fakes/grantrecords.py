"""Upstreams of real processes that record what they hold, and the rules on it.

Each upstream measures the time of its grants from their arrival, by a clock that is 2%
slow. A grant is late if it was held up on its way for more than ``MAX_DELIVERY_S``, and
excused if it arrived while its sender was stopped or within ``THAW_SLACK_S`` after.
"""

import asyncio
import dataclasses
import itertools

from papayatack.platform.grants import MAX_DELIVERY_S
from standins.platformupstream import MS_PER_S, PlatformUpstream

__all__ = ["KEYS", "GrantRecords", "Hold", "RecordingUpstream"]

KEYS = (*range(0, 65_536, 256), 30_000, 65_535)
"""Keys of which holds are recorded."""

CLOCK_RATE = 1.02
MAX_OVERLAP_S = 0.5
JOIN_S = 0.001
THAW_SLACK_S = 0.3


@dataclasses.dataclass(slots=True, kw_only=True)
class Hold:
    """A hold of an upstream on a key.

    Attributes:
        token: Its fencing token.
        since_s: Time of the first grant.
        until_s: Time at which the last of its grants ends, or of its release.
        prompt_until_s: The same, by the grants that were neither late nor excused.
        counted_until_s: The same, by the grants that were not excused.
        begun_s: Times at which requests for the key began.
    """

    token: int
    since_s: float
    until_s: float
    prompt_until_s: float = float("-inf")
    counted_until_s: float = float("-inf")
    begun_s: list[float] = dataclasses.field(default_factory=list)


class GrantRecords:
    """What all upstreams held, and how it broke the rules.

    Attributes:
        violations: Rule, key and description of each.
        late_tokens: The same for tokens of late grants.
        grants: Number of grants that arrived.
        late: Number of those that were late.
        begun: Number of requests that began.
    """

    def __init__(self):
        self.holds = {}
        self.violations = []
        self.late_tokens = []
        self.grants = self.late = self.begun = 0

    def check_token(self, name, key, token, *, is_late):
        """Check the token of a key that an upstream takes anew."""
        for (other, known_key), holds in self.holds.items():
            if known_key != key or other == name or not holds:
                continue
            highest = max(hold.token for hold in holds)
            if highest >= token:
                text = f"{name} takes {token}, {other} had {highest}"
                found = self.late_tokens if is_late else self.violations
                found.append(("token", key, text))

    def list_violations(self):
        """Return the violations, with those of holds that overlap."""
        found = list(self.violations)
        by_key = {}
        for (name, key), holds in self.holds.items():
            by_key.setdefault(key, []).extend((name, hold) for hold in holds)
        for key, holds in sorted(by_key.items()):
            for (name, hold), (other, known) in itertools.combinations(holds, 2):
                if name != other:
                    found.extend(_check_begun(key, name, hold, other, known))
        for (name, key), (other, other_key) in itertools.combinations(self.holds, 2):
            if key == other_key:
                pair = (self.holds[name, key], self.holds[other, key])
                found.extend(_check_overlap(key, name, other, pair))
        return found

    def count_moves(self):
        """Return how often a key went from one upstream to another."""
        by_key = {}
        for (name, key), holds in self.holds.items():
            by_key.setdefault(key, []).extend((hold.since_s, name) for hold in holds)
        return sum(
            before != after
            for starts in by_key.values()
            for (_, before), (_, after) in itertools.pairwise(sorted(starts))
        )


def _check_overlap(key, name, other, pair):
    """Look for a time in which both hold a key, under whatever tokens."""
    first, second = (_join(holds) for holds in pair)
    for since_s, until_s in first:
        for other_since_s, other_until_s in second:
            start_s = max(since_s, other_since_s)
            overlap_s = min(until_s, other_until_s) - start_s
            if overlap_s > MAX_OVERLAP_S:
                text = f"for {overlap_s:.3f} s from {start_s:.3f}: {name}, {other}"
                yield ("held twice", key, f"{text}; {[*map(_describe, sum(pair, []))]}")


def _join(holds):
    """Return the intervals of consecutive holds of one upstream."""
    joined = []
    for hold in holds:
        if joined and hold.since_s - joined[-1][1] < JOIN_S:
            joined[-1][1] = max(joined[-1][1], hold.prompt_until_s)
        else:
            joined.append([hold.since_s, hold.prompt_until_s])
    return joined


def _check_begun(key, name, hold, other, known):
    since_s = max(hold.since_s, known.since_s)
    text = f"{name} {_describe(hold)}, {other} {_describe(known)}"
    until_s = min(hold.counted_until_s, known.counted_until_s)
    begun = [
        [time_s for time_s in one.begun_s if since_s <= time_s < until_s]
        for one in (hold, known)
    ]
    if all(begun):
        yield ("begun twice", key, f"{begun[0][:2]} {begun[1][:2]}: {text}")


def _describe(hold):
    return (
        f"{hold.token >> 16}/{hold.token >> 8 & 255}/{hold.token & 255} "
        f"{hold.since_s:.3f} to {hold.until_s:.3f} (prompt {hold.prompt_until_s:.3f})"
    )


class RecordingUpstream(PlatformUpstream):
    """An upstream behind a relay whose grants are recorded.

    Attributes:
        relay: The relay between the node and it.
        records: Where its holds are recorded.
        last_heartbeat: Document of the last heartbeat.
        stopped: Intervals in which its node was stopped; the last may be open.
    """

    def __init__(self, *, relay, records, **fields):
        super().__init__(**fields)
        self.relay = relay
        self.records = records
        self.stopped = []
        self.last_heartbeat = None

    @property
    def address(self):
        """Where the relay takes requests."""
        return f"127.0.0.1:{self.relay.port}"

    async def start(self):
        """Listen, and let the relay pass on to it."""
        await super().start()
        self.relay.target_port = self._server.port

    def end_holds(self):
        """Record that the process has ended, and with it all holds."""
        now = asyncio.get_running_loop().time()
        for (name, _), holds in self.records.holds.items():
            if name == self._first_instance and holds:
                _end(holds[-1], now)

    def crash(self):
        """End at once, and start again as another process."""
        self.end_holds()
        super().crash()

    async def post_heartbeat(self, control_port, document):
        """Send a heartbeat, and keep it to be sent late."""
        self.last_heartbeat = document
        return await super().post_heartbeat(control_port, document)

    def _is_excused(self, delay_s):
        now = asyncio.get_running_loop().time()
        since_s = now - max(delay_s, THAW_SLACK_S)
        return any(end_s >= since_s for _, end_s in self.stopped)

    def _grant(self, document):
        delay_s = self.relay.find_delay_s()
        response = super()._grant(document)
        self.records.grants += 1
        self.records.late += delay_s > MAX_DELIVERY_S
        if response.status == 200:
            self._note_grant(document, delay_s)
        return response

    def _note_grant(self, document, delay_s):
        now = asyncio.get_running_loop().time()
        hold_s = int(document["Hold"].removesuffix("ms")) / MS_PER_S * CLOCK_RATE
        token = document["fence"]
        for key, held in list(self.grants.items()):
            if held.token == token and key == (document["From"], document["To"]):
                self.grants[key] = dataclasses.replace(held, until_s=now + hold_s)
        is_excused = self._is_excused(delay_s)
        is_late = delay_s > MAX_DELIVERY_S
        for key in _list_keys(document):
            holds = self.records.holds.setdefault((self._first_instance, key), [])
            hold = holds[-1] if holds else None
            if hold is None or hold.token != token or hold.until_s <= now:
                if not is_excused:
                    self.records.check_token(
                        self._first_instance, key, token, is_late=is_late
                    )
                if hold is not None:
                    _end(hold, now)
                hold = Hold(token=token, since_s=now, until_s=now)
                holds.append(hold)
            hold.until_s = now + hold_s
            if not is_excused:
                hold.counted_until_s = hold.until_s
                if not is_late:
                    hold.prompt_until_s = hold.until_s

    def _release(self, document):
        now = asyncio.get_running_loop().time()
        for key in _list_keys(document):
            holds = self.records.holds.get((self._first_instance, key))
            if holds:
                _end(holds[-1], now)
        return super()._release(document)

    def _run(self, request):
        response = super()._run(request)
        if response.status == 200:
            self._note_begin(request)
        return response

    def _note_begin(self, request):
        for name, value in request.headers:
            if name.lower() != b"papayatack-shard-key":
                continue
            self.records.begun += 1
            key = int(value)
            holds = self.records.holds.get((self._first_instance, key))
            if holds:
                holds[-1].begun_s.append(asyncio.get_running_loop().time())


def _list_keys(document):
    return [key for key in KEYS if document["From"] <= key <= document["To"]]


def _end(hold, now):
    hold.until_s = min(hold.until_s, now)
    hold.prompt_until_s = min(hold.prompt_until_s, now)
    hold.counted_until_s = min(hold.counted_until_s, now)
