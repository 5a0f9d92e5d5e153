"""Exit statuses of the command, and the error that carries one."""

import enum

from papayatack.core.errors import PapayatackError

__all__ = ["CommandError", "ExitStatus"]


class ExitStatus(enum.IntEnum):
    """What the command's exit status says; docs/operators/status.md lists them."""

    DONE = 0
    REFUSED = 1
    USAGE = 2
    AWAY = 3
    UNKNOWN = 4


class CommandError(PapayatackError):
    """A command that did not succeed; the message says what to do next.

    Attributes:
        status: The exit status.
        details: Further lines, such as each fault of a document.
    """

    def __init__(
        self, message: str, *, status: ExitStatus, details: tuple[str, ...] = ()
    ) -> None:
        super().__init__(message)
        self.status = status
        self.details = details
