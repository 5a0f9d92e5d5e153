"""An event loop with virtual time on which single processes can be frozen."""

import asyncio
import contextvars
import selectors

__all__ = ["PROCESS", "FreezableLoop"]

PROCESS = contextvars.ContextVar("PROCESS", default="")
"""Name of the process to which a callback belongs."""


class _Selector(selectors.DefaultSelector):
    """Advances a virtual clock by each time-out instead of waiting."""

    now = 0.0

    def select(self, timeout=None):
        """Return at once, after advancing the clock by the time-out."""
        if timeout is None:
            raise RuntimeError("nothing is left to wait for")
        self.now += max(timeout, 0.0)
        return super().select(0)


class FreezableLoop(asyncio.SelectorEventLoop):
    """Event loop with virtual time, which passes only while all tasks wait.

    Callbacks of a frozen process are held back until it is thawed.
    """

    def __init__(self):
        self._clock = _Selector()
        super().__init__(self._clock)
        self._parked = {}

    def time(self):
        """Return the virtual time in seconds."""
        return self._clock.now

    def freeze(self, process):
        """Hold back all callbacks of a process."""
        self._parked.setdefault(process, [])

    def thaw(self, process):
        """Run the callbacks that became due in the meantime, in order."""
        for handle, callback, args, context in self._parked.pop(process, []):
            if not handle[0].cancelled():
                super().call_soon(callback, *args, context=context)

    def is_frozen(self, process):
        """Return whether a process is frozen."""
        return process in self._parked

    def call_soon(self, callback, *args, context=None):
        """Schedule a callback, or hold it back if its process is frozen."""
        context = context if context is not None else contextvars.copy_context()
        entry = [None]
        entry[0] = super().call_soon(
            self._run, entry, callback, args, context, context=context
        )
        return entry[0]

    def call_at(self, when, callback, *args, context=None):
        """Schedule a callback at a time, or hold it back during a freeze."""
        context = context if context is not None else contextvars.copy_context()
        entry = [None]
        entry[0] = super().call_at(
            when, self._run, entry, callback, args, context, context=context
        )
        return entry[0]

    def _run(self, entry, callback, args, context):
        parked = self._parked.get(context.get(PROCESS, ""))
        if parked is None:
            callback(*args)
        else:
            parked.append((entry, callback, args, context))
