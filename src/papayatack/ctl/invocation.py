"""What a command is, what it gets and what it returns."""

import dataclasses
from collections.abc import Awaitable, Callable
from typing import Any

from papayatack.ctl.exits import ExitStatus
from papayatack.ctl.session import Session

__all__ = ["Command", "Invocation", "Output"]


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Output:
    """What a command prints.

    Attributes:
        document: For programs.
        text: For people.
        status: The exit status.
    """

    document: Any
    text: str
    status: ExitStatus = ExitStatus.DONE


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Invocation:
    """One use of the command.

    Attributes:
        session: Which nodes it calls.
        arguments: The words after the command's name.
        base_version: ``--base``, if given.
        record_id: ``--record_id``, if given.
        directory: ``--out``, if given.
        print_progress: Takes lines that tell how far a long command is.
    """

    session: Session
    arguments: tuple[str, ...]
    base_version: int | None = None
    record_id: str | None = None
    directory: str | None = None
    print_progress: Callable[[str], None] = lambda line: None


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Command:
    """A command and its arguments.

    Attributes:
        run: Its function.
        usage: Its arguments, for the usage message.
        least: Least number of arguments.
        most: Largest number of arguments.
        summary: What it does.
    """

    run: Callable[[Invocation], Awaitable[Output]]
    usage: str
    least: int
    most: int
    summary: str
