"""A paused clock on which single processes can be frozen."""

import asyncio
import contextvars
import selectors

__all__ = ["PROCESS", "FreezableLoop"]

PROCESS = contextvars.ContextVar("PROCESS", default="")
"""The process that a callback belongs to."""


class _Selector(selectors.DefaultSelector):
    """Passes the time that it is told to wait."""

    now = 0.0

    def select(self, timeout=None):
        """Return at once."""
        if timeout is None:
            raise RuntimeError("nothing is left to wait for")
        self.now += max(timeout, 0.0)
        return super().select(0)


class FreezableLoop(asyncio.SelectorEventLoop):
    """Time passes only while all wait; a frozen process runs nothing until its thaw."""

    def __init__(self):
        self._clock = _Selector()
        super().__init__(self._clock)
        self._parked = {}

    def time(self):
        """Return the seconds that have passed."""
        return self._clock.now

    def freeze(self, process):
        """Run nothing of a process."""
        self._parked.setdefault(process, [])

    def thaw(self, process):
        """Run what has become due meanwhile, in its order."""
        for handle, callback, args, context in self._parked.pop(process, []):
            if not handle[0].cancelled():
                super().call_soon(callback, *args, context=context)

    def is_frozen(self, process):
        """Tell whether a process is frozen."""
        return process in self._parked

    def call_soon(self, callback, *args, context=None):
        """Run a callback soon, or after the thaw."""
        context = context if context is not None else contextvars.copy_context()
        entry = [None]
        entry[0] = super().call_soon(
            self._run, entry, callback, args, context, context=context
        )
        return entry[0]

    def call_at(self, when, callback, *args, context=None):
        """Run a callback at a time, or after the thaw."""
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
