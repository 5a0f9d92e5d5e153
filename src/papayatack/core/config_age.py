"""How old the configuration of a node may be."""

import dataclasses

__all__ = ["ConfigAge"]


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class ConfigAge:
    """How old the configuration of a node may be.

    Attributes:
        age_s: Time in seconds since it was the newest for certain; ``None`` if that is
            unknown.
        is_superseded: Whether another node has a newer one.
    """

    age_s: float | None = None
    is_superseded: bool = False
