"""A fleet whose nodes keep the Retire records of nodes that can't reach the log."""

import collections
import functools

from papayatack.control.retirements import KEEPERS, RetirementKeeper, list_keepers
from papayatack.control.writing import HANDOVER_ROUNDS
from papayatack.core.records import Retire
from tests.fakes.fleet import Fleet

__all__ = ["KeepingFleet"]

CHECK_S = 0.1


class KeepingFleet(Fleet):
    """Hands Retire records over as the writer of a whole node does."""

    def __init__(self, **options):
        super().__init__(**options)
        self._keepers = {}
        self._rounds = collections.Counter()

    def _append(self, slot, record):
        super()._append(slot, record)
        if isinstance(record, Retire) and not self._can_log(slot):
            self._ask_keepers(slot, record)

    def _ask_keepers(self, slot, record):
        name = record.incarnation
        first = self._rounds[name] * KEEPERS
        if self._rounds[name] >= HANDOVER_ROUNDS:
            return
        self._rounds[name] += 1
        recipients = list_keepers(slot.core, name, slot.read_clock(self.now))
        for recipient in recipients[first : first + KEEPERS]:
            if (slot.name, recipient.split("#")[0]) not in self.cut:
                self._at(
                    self.latency_s, functools.partial(self._keep, recipient, record)
                )

    def _keep(self, recipient, record):
        slot = self.slots[recipient.split("#")[0]]
        core = slot.core
        if slot.frozen or core is None or core.incarnation != recipient:
            return
        if recipient not in self._keepers:
            self._keepers[recipient] = RetirementKeeper(core=core)
            self._at(CHECK_S, functools.partial(self._append_due, slot, core))
        self._keepers[recipient].keep(record, slot.read_clock(self.now))

    def _append_due(self, slot, core):
        """Append the kept record that is due, and look again later."""
        if slot.core is not core:
            return
        self._at(CHECK_S, functools.partial(self._append_due, slot, core))
        keeper = self._keepers[core.incarnation]
        now = slot.read_clock(self.now)
        record = None if slot.frozen else keeper.take_due(now)
        if record is None:
            return
        if self._can_log(slot):
            super()._append(slot, record)
        else:
            keeper.note_failed(now)
