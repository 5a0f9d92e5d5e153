"""Loads the initial state of a new node from the log alone."""

import functools
import random

from returns.result import Failure, Result, Success

from papayatack.core.config_fold import ConfigFold
from papayatack.core.errors import InventoryError
from papayatack.core.ownership import OwnershipState, apply_record, load_state
from papayatack.core.records import CONFIG_STREAM, OWNERSHIP_STREAM
from papayatack.logservice.bootstrap import BootstrapFailure, load_stream
from papayatack.logservice.interface import LogService
from papayatack.observability.metrics import Metrics

__all__ = ["load_streams"]


async def load_streams(
    *, log: LogService, metrics: Metrics, random: random.Random, deadline_s: float
) -> Result[tuple[OwnershipState, ConfigFold], BootstrapFailure]:
    """Load both streams, from a checkpoint if the first records have expired.

    Args:
        log: The log service.
        metrics: Counters of the process.
        random: Source of the jitter of retries.
        deadline_s: Event loop time, in seconds, after which loading fails.
    """
    load_one = functools.partial(
        load_stream, log=log, metrics=metrics, random=random, deadline_s=deadline_s
    )
    ownership = await load_one(
        stream=OWNERSHIP_STREAM, create=OwnershipState, load=load_state
    )
    config = await load_one(stream=CONFIG_STREAM, create=ConfigFold, load=_load_config)
    match ownership, config:
        case Success(owned), Success(configured):
            for logged in owned.records:
                apply_record(owned.state, logged.offset, logged.record)
            for logged in configured.records:
                configured.state.apply(logged.offset, logged.record)
            return Success((owned.state, configured.state))
        case Failure(failure), _:
            return Failure(failure)
        case _, Failure(failure):
            return Failure(failure)


def _load_config(text: str) -> ConfigFold:
    try:
        return ConfigFold.load(text)
    except InventoryError as error:
        raise ValueError(str(error)) from error
