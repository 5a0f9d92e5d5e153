"""Validated models of the responses of a node's operator endpoint.

Unknown fields, which a newer node may add, are ignored, and fields that an older node
does not send have defaults. The operator command therefore works during an upgrade.
"""

import pydantic

__all__ = [
    "ColdnessEntry",
    "ConfigAnswer",
    "ExplainAnswer",
    "Holder",
    "LeaseState",
    "LiftAnswer",
    "NodeEntry",
    "PublishAnswer",
    "QuarantineAnswer",
    "ShareEntry",
    "StatusAnswer",
    "SuspectEntry",
    "VersionAnswer",
]


class _Answer(pydantic.BaseModel):
    """Base of the response models; unknown fields are ignored."""

    model_config = pydantic.ConfigDict(extra="ignore", frozen=True, defer_build=True)


class LeaseState(_Answer):
    """The lease under which a node serves its shards."""

    id: str = ""
    term: int = 0
    remaining_ms: float = 0.0
    witnesses: list[str] = []


class NodeEntry(_Answer):
    """A cluster member as listed in the status of another node."""

    incarnation: str
    operator_address: str
    data_centre: str = ""
    service: str = ""
    state: str = ""


class ShareEntry(_Answer):
    """How the shards of a service are shared out, as far as the node knows."""

    service: str
    shards: int = 0
    unowned: int = 0
    node: str = ""
    share: float = 0.0
    slot_share: float = 0.0


class ColdnessEntry(_Answer):
    """Whether the upstream of a node is cold, if its service has a limit for that."""

    is_cold: bool = False
    source: str = ""
    remaining_ms: int = 0
    age_ms: int = 0
    room: int = 0


class StatusAnswer(_Answer):
    """The status of one node."""

    incarnation: str
    address: str = ""
    operator_address: str = ""
    data_centre: str = ""
    region: str = ""
    service: str = ""
    state: str = ""
    config_version: int = 0
    config_offset: int = 0
    config_age_ms: int | None = None
    ownership_offset: int = 0
    log_reachable: bool = False
    lease: LeaseState | None = None
    shards_owned: int = 0
    shares: list[ShareEntry] = []
    nodes: list[NodeEntry] = []
    in_flight: int = 0
    queue: int = 0
    coldness: ColdnessEntry | None = None
    upstream_pace: float | None = None
    upstream_load_age_s: float | None = None
    evacuated: list[str] = []
    sends_to_upstream: bool = True


class VersionAnswer(_Answer):
    """The part of a node's status that gives its configuration version.

    Decoding these fields alone costs a fraction of decoding the full status, which
    lists all nodes.
    """

    incarnation: str
    config_version: int = 0


class ConfigAnswer(_Answer):
    """The configuration documents in effect on a node."""

    version: int
    inventory: str
    rules: str = ""


class Holder(_Answer):
    """One lease in the ownership chain of a shard."""

    lease: str
    data_centre: str = ""
    state: str = ""
    reason: str = ""


class ExplainAnswer(_Answer):
    """The owner of a key and the reasons for that assignment."""

    shard: str
    epoch: int = 0
    owner: str = ""
    address: str = ""
    chain: list[Holder] = []
    token: int = 0
    why: list[str] = []


class PublishAnswer(_Answer):
    """The result of publishing a configuration or declaring a node lost."""

    result: str = ""
    version: int = 0
    difference: list[str] = []
    faults: list[str] = []
    detail: str = ""


class SuspectEntry(_Answer):
    """A request that was in flight when upstreams crashed."""

    fingerprint: str
    service: str = ""
    caller: str = ""
    rounds: int = 0
    is_refused: bool = False
    last_request: str = ""
    upstreams: list[str] = []


class QuarantineAnswer(_Answer):
    """The requests that were in flight at crashes and have not ended since."""

    suspects: list[SuspectEntry] = []


class LiftAnswer(_Answer):
    """The fingerprints of requests that may run again, and of those not known."""

    lifted: list[str] = []
    unknown: list[str] = []
