"""Retire records of nodes that have shut down while they could not reach the log.

A node that shuts down while its appends fail asks others to record its end. They keep
the record until the member has ended, because nobody else knows that the node is gone.
"""

from papayatack.core.identity import IncarnationId
from papayatack.core.ownership.node import NodeCore
from papayatack.core.ownership.selection import (
    compute_rendezvous_rank,
    rank_planners,
)
from papayatack.core.records import OwnershipRecord, Retire

__all__ = ["KEEPERS", "RetirementKeeper", "list_keepers"]

KEEPERS = 4
"""Number of nodes that are asked at once to keep a record."""

PLANNERS_ASKED = 2
"""Number of planners that are asked first."""

MAX_KEPT = 256
MAX_KEPT_S = 3600.0
"""Time after which a record that has had no effect is dropped."""

RANK_DELAY_S = 0.15
"""Delay of an append for each keeper before this one, so that not all append it."""

RETRY_S = 0.2
"""Time between two attempts while appends fail."""

REPEAT_S = 1.5
"""Time after which a record that was appended without effect is appended again."""


def list_keepers(
    core: NodeCore, writer: IncarnationId, now: float
) -> list[IncarnationId]:
    """Return the nodes to ask to keep the Retire record of a node, best first.

    Some planners come first, since they append anyway, then the other members in an
    order that differs between nodes. Those that may have left come last.
    """
    state = core.state
    suspects = core.context.fencing.list_suspects(now)
    planners = rank_planners(state, avoid={writer, *suspects})[:PLANNERS_ASKED]
    others = sorted(
        (
            member.incarnation
            for member in state.list_live_members()
            if member.incarnation != writer and member.incarnation not in planners
        ),
        key=lambda name: (name in suspects, compute_rendezvous_rank(writer, name)),
    )
    return [*planners, *others]


class RetirementKeeper:
    """Keeps Retire records of other nodes until they have taken effect.

    Args:
        core: The ownership core of the node.
    """

    def __init__(self, *, core: NodeCore) -> None:
        self._core = core
        self._kept: dict[IncarnationId, Retire] = {}
        self._kept_since_s: dict[IncarnationId, float] = {}
        self._due_s: dict[IncarnationId, float] = {}

    def __len__(self) -> int:
        return len(self._kept)

    def keep(self, record: Retire, now: float) -> None:
        """Keep a record, unless too many are kept or the member has ended."""
        name = record.incarnation
        if name not in self._kept and len(self._kept) < MAX_KEPT:
            self._kept[name] = record
            self._kept_since_s[name] = now
            self._due_s[name] = now + self._find_delay_s(name, now)

    def find_due_s(self, now: float) -> float:
        """Return when the next record is due, infinity if none is kept."""
        self._drop_done(now)
        return min(self._due_s.values(), default=float("inf"))

    def take_due(self, now: float) -> Retire | None:
        """Return a record to append now, which is kept until it has taken effect."""
        if self.find_due_s(now) > now:
            return None
        name = min(self._due_s, key=self._due_s.__getitem__)
        self._due_s[name] = now + REPEAT_S
        return self._kept[name]

    def note_failed(self, now: float) -> None:
        """Wait before the next attempt: an append has failed."""
        self._due_s = dict.fromkeys(self._due_s, now + RETRY_S)

    def note_recovered(self, appended: OwnershipRecord, now: float) -> None:
        """Let the other records be due shortly: an append has succeeded again."""
        for name, record in self._kept.items():
            delay_s = REPEAT_S if record is appended else self._find_delay_s(name, now)
            self._due_s[name] = now + delay_s

    def _find_delay_s(self, name: IncarnationId, now: float) -> float:
        """Return for how long the keepers that come before this one go first."""
        keepers = list_keepers(self._core, name, now)
        local = self._core.incarnation
        rank = keepers.index(local) if local in keepers else KEEPERS
        return RANK_DELAY_S * min(rank, KEEPERS)

    def _drop_done(self, now: float) -> None:
        """Forget the members that have ended, and records that are too old."""
        members = self._core.state.members
        for name, since_s in list(self._kept_since_s.items()):
            member = members.get(name)
            has_ended = member is None or member.ended is not None
            if has_ended or now - since_s >= MAX_KEPT_S:
                del self._kept[name]
                del self._kept_since_s[name]
                del self._due_s[name]
