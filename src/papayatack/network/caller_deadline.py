"""Until when a connection waits for bytes of its caller."""

from papayatack.core.errors import ErrorKind

__all__ = ["CallerDeadline"]


class CallerDeadline:
    """Time at which a connection no longer waits for its caller.

    Attributes:
        kind: Refusal of the request that was not sent in time; ``None`` while the
            connection waits for the first byte of one.
        idle_since_s: Event loop time since which it has waited for a request.
    """

    __slots__ = ("_due_s", "idle_since_s", "kind")

    def __init__(self) -> None:
        self.kind: ErrorKind | None = None
        self.idle_since_s = 0.0
        self._due_s: float | None = None

    @property
    def is_idle(self) -> bool:
        """Whether the first byte of a request is waited for."""
        return self._due_s is not None and self.kind is None

    def has_passed(self, now: float) -> bool:
        """Return whether the caller has taken too long."""
        return self._due_s is not None and now >= self._due_s

    def start(self, due_s: float, kind: ErrorKind) -> None:
        """Wait for the rest of a request until a time."""
        self._due_s = due_s
        self.kind = kind

    def start_idle(self, now: float, timeout_s: float) -> None:
        """Wait for the next request."""
        self.kind = None
        self.idle_since_s = now
        self.set_idle_timeout(timeout_s)

    def set_idle_timeout(self, timeout_s: float) -> None:
        """Change for how long the next request is waited for."""
        self._due_s = self.idle_since_s + timeout_s

    def clear(self) -> None:
        """Wait for nothing."""
        self._due_s = None
