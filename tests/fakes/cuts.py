"""Nodes of which some do not reach the log."""

import asyncio

from returns.result import Failure

from papayatack.logservice.interface import LogFailure, LogFailureKind
from standins.logstore import InProcessLog
from tests.fakes.nodes import NodeFixture

__all__ = ["CutFixture"]

LOOK_S = 0.02
_CUT = Failure(LogFailure(kind=LogFailureKind.REFUSED, detail="cut off"))


class CutLog(InProcessLog):
    """The log as a node reaches it, which may be cut off from it."""

    def __init__(self, *, store, address, cut):
        super().__init__(store=store)
        self._address = address
        self._cut = cut

    async def append(self, *args, **options):
        """Append, unless the node is cut off."""
        if self._address in self._cut:
            return _CUT
        return await super().append(*args, **options)

    async def read(self, *args, **options):
        """Read, until the node is cut off."""
        reading = asyncio.ensure_future(super().read(*args, **options))
        while not reading.done() and self._address not in self._cut:
            await asyncio.wait([reading], timeout=LOOK_S)
        if self._address in self._cut:
            reading.cancel()
            return _CUT
        return reading.result()

    def refuse(self):
        """Return the result of a call that did not reach the log."""
        return _CUT


class CutFixture(NodeFixture):
    """Nodes that can be cut off from the log, each by its address.

    Attributes:
        cut: The addresses that are cut off.
    """

    def __init__(self, **options):
        super().__init__(**options)
        self.cut = set()

    def build_log(self, address):
        """Return the log as a node reaches it."""
        return CutLog(store=self.store, address=address, cut=self.cut)
