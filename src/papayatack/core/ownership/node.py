"""The ownership protocol of one node: inputs in, effects out, no I/O.

:class:`NodeCore` is driven by :meth:`~NodeCore.apply_record` (the ownership stream in
the order of its offsets), :meth:`~NodeCore.receive` (control messages),
:meth:`~NodeCore.advance` (time) and the confirmations of the own upstream. Each
returns the effects to be carried out, in their order.
"""

import functools
from collections.abc import Callable

from returns.result import Failure, Result, Success

from papayatack.core.errors import ErrorKind, Refusal
from papayatack.core.identity import IncarnationId, LeaseId, ShardId
from papayatack.core.messages import (
    ControlMessage,
    Fence,
    FenceReply,
    LeaseFenced,
    LeaseLapsed,
    LogQuery,
    Release,
    ReleaseQuery,
    Renew,
    RenewReply,
)
from papayatack.core.ownership.claims import Claims
from papayatack.core.ownership.departure import Departure
from papayatack.core.ownership.effects import (
    Effect,
    ExtendLease,
    FinishNode,
    GrantShards,
    NoteEvent,
    RevokeShards,
    SendMessage,
    SendRecords,
)
from papayatack.core.ownership.fencing import Fencing
from papayatack.core.ownership.fold import Change, fold
from papayatack.core.ownership.holder import Holder
from papayatack.core.ownership.reporting import Reporting
from papayatack.core.ownership.rights import Rights
from papayatack.core.ownership.state import Member, OwnershipState
from papayatack.core.ownership.timing import RENEW_INTERVAL_S
from papayatack.core.ownership.witnessing import Witnessing
from papayatack.core.records import CONFIG_STREAM, OWNERSHIP_STREAM, OwnershipRecord
from papayatack.proxy.interface import Grant

__all__ = ["NodeCore"]
