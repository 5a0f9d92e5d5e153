"""Pauses in reading from a connection, during which its peer may hang up."""

from typing import Any

from papayatack.network.hangups import HangupWatch

__all__ = ["ReadPause"]


class ReadPause:
    """Pauses the reading of a transport; aborts it if the peer hangs up meanwhile.

    Attributes:
        active: Whether reading is paused.
    """

    __slots__ = ("_descriptor", "_hangups", "_transport", "active")

    def __init__(self, *, transport: Any, hangups: HangupWatch) -> None:
        self._transport = transport
        self._hangups = hangups
        self._descriptor: int | None = None
        self.active = False

    def begin(self) -> None:
        """Pause reading; has no effect during a pause."""
        if not self.active:
            self.active = True
            self._transport.pause_reading()
            self._watch()

    def end(self) -> None:
        """Resume reading; has no effect outside a pause."""
        if self.active:
            self.active = False
            self.unwatch()
            self._transport.resume_reading()

    def unwatch(self) -> None:
        """Look no longer for the peer's leaving, as the transport is being closed."""
        if self._descriptor is not None:
            self._hangups.remove(self._descriptor)
            self._descriptor = None

    def _watch(self) -> None:
        self.unwatch()
        sock = self._transport.get_extra_info("socket")
        if sock is not None and sock.fileno() >= 0:
            self._descriptor = sock.fileno()
            self._hangups.add(self._descriptor, self._transport.abort)
