"""Sets up the tasks that write checkpoints of both streams."""

import functools
from collections.abc import Mapping

from papayatack.control.following import STREAMS, LogFollower
from papayatack.core.config_fold import ConfigFold
from papayatack.core.ownership.node import NodeCore
from papayatack.core.ownership.snapshot import dump_state
from papayatack.core.records import CONFIG_STREAM, OWNERSHIP_STREAM
from papayatack.logservice.appender import Appender
from papayatack.logservice.checkpoints import CheckpointManager, Snapshot
from papayatack.observability.metrics import Metrics

__all__ = ["build_checkpoint_managers"]


def build_checkpoint_managers(
    *,
    core: NodeCore,
    config: ConfigFold,
    follower: LogFollower,
    appenders: Mapping[str, Appender],
    retention_s: float,
    metrics: Metrics,
    now: float,
) -> dict[str, CheckpointManager]:
    """Return the checkpoint manager of each stream.

    Args:
        core: The ownership core of the node.
        config: State built from the config stream.
        follower: Tells whether the log is available.
        appenders: The appender of each stream.
        retention_s: Seconds for which the log keeps records.
        metrics: Counters of the process.
        now: Time of the event loop in seconds.
    """
    sources = {
        CONFIG_STREAM: functools.partial(_snapshot_config, config),
        OWNERSHIP_STREAM: functools.partial(_snapshot_ownership, core),
    }
    return {
        stream: CheckpointManager(
            stream=stream,
            incarnation=core.incarnation,
            retention_s=retention_s,
            appender=appenders[stream],
            take_snapshot=sources[stream],
            is_available=functools.partial(follower.is_available, stream),
            metrics=metrics,
            now=now,
        )
        for stream in STREAMS
    }


def _snapshot_config(config: ConfigFold) -> Snapshot:
    return Snapshot(next_offset=config.next_offset, document=config.dump())


def _snapshot_ownership(core: NodeCore) -> Snapshot:
    return Snapshot(next_offset=core.state.next_offset, document=dump_state(core.state))
