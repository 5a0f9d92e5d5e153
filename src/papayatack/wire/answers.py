"""Validated models of what a node's operators' endpoint answers.

Fields that a newer node adds are ignored, and those that an older one lacks have
defaults, so that the command works while an upgrade is under way.
"""

import pydantic

__all__ = [
    "ConfigAnswer",
    "ExplainAnswer",
    "Holder",
    "LeaseState",
    "NodeEntry",
    "PublishAnswer",
    "StatusAnswer",
    "VersionAnswer",
]


class _Answer(pydantic.BaseModel):
    """An answer; unknown fields are ignored."""

    model_config = pydantic.ConfigDict(extra="ignore", frozen=True, defer_build=True)


class LeaseState(_Answer):
    """The lease under which a node serves."""

    id: str = ""
    term: int = 0
    remaining_ms: float = 0.0
    witnesses: list[str] = []


class NodeEntry(_Answer):
    """A node as another node knows it."""

    incarnation: str
    operator_address: str
    data_centre: str = ""
    service: str = ""
    state: str = ""


class StatusAnswer(_Answer):
    """The state of one node."""

    incarnation: str
    address: str = ""
    operator_address: str = ""
    data_centre: str = ""
    region: str = ""
    service: str = ""
    state: str = ""
    config_version: int = 0
    config_offset: int = 0
    ownership_offset: int = 0
    log_reachable: bool = False
    lease: LeaseState | None = None
    shards_owned: int = 0
    nodes: list[NodeEntry] = []
    in_flight: int = 0
    queue: int = 0


class VersionAnswer(_Answer):
    """The part of a node's state that tells its version.

    Decoding no more than this costs a fraction of the whole, which lists all nodes.
    """

    incarnation: str
    config_version: int = 0


class ConfigAnswer(_Answer):
    """The documents in force on a node."""

    version: int
    inventory: str
    rules: str = ""


class Holder(_Answer):
    """One member of a shard's chain."""

    lease: str
    data_centre: str = ""
    state: str = ""
    reason: str = ""


class ExplainAnswer(_Answer):
    """Who owns a key, and why."""

    shard: str
    epoch: int = 0
    owner: str = ""
    address: str = ""
    chain: list[Holder] = []
    token: int = 0
    why: list[str] = []


class PublishAnswer(_Answer):
    """What became of a publication, or of a declaration."""

    result: str = ""
    version: int = 0
    difference: list[str] = []
    faults: list[str] = []
    detail: str = ""
