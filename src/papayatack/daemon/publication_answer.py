"""What an operator is told of a publication."""

import dataclasses
import enum

__all__ = ["PublicationAnswer", "PublicationStatus"]


class PublicationStatus(enum.StrEnum):
    """What an operator is told of a publication."""

    ACCEPTED = "accepted"
    CONFLICT = "conflict"
    INVALID = "invalid"
    REFUSED = "refused"
    UNKNOWN = "unknown"


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class PublicationAnswer:
    """The answer to a publication.

    Attributes:
        status: What became of it.
        version: The version in force on this node.
        difference: What the version in force has that the publication was not made
            from, for a conflict.
        faults: Why it is invalid.
        detail: What to do, for an unknown or refused one.
    """

    status: PublicationStatus
    version: int
    difference: tuple[str, ...] = ()
    faults: tuple[str, ...] = ()
    detail: str = ""
