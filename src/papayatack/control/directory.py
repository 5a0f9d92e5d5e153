"""The lookup of the node that serves a key, from the local ownership state."""

import asyncio
from collections.abc import Callable

from returns.pipeline import is_successful
from returns.result import Failure, Result, Success

from papayatack.control.interface import ConfigState
from papayatack.control.loads import LoadMeter
from papayatack.core.errors import ErrorKind, Refusal
from papayatack.core.idempotency import KeyTenure
from papayatack.core.identity import ShardId
from papayatack.core.inventory import Configuration
from papayatack.core.ownership.effects import Effect
from papayatack.core.ownership.node import NodeCore
from papayatack.core.ownership.state import Member
from papayatack.core.ownership.tenures import find_key_tenure
from papayatack.core.shards import (
    derive_hot_shard_id,
    find_parent_shard,
    is_hot_shard,
    locate_shard,
)
from papayatack.proxy.interface import Grant, Route

__all__ = ["Directory"]

RETRY_AFTER_S = 0.3
"""Delay that a caller is advised to wait when a shard has no owner."""


class Directory:
    """Implements :class:`papayatack.proxy.interface.Ownership`.

    Args:
        core: The ownership core of the node.
        config: State built from the config stream.
        loads: Counts requests by shard and key.
        execute_effects: Executes effects of the core.
        check_suspension: Detects a suspension of the VM and informs the core.
    """

    def __init__(
        self,
        *,
        core: NodeCore,
        config: ConfigState,
        loads: LoadMeter,
        execute_effects: Callable[[list[Effect]], None],
        check_suspension: Callable[[], None],
    ) -> None:
        self._core = core
        self._config = config
        self._loads = loads
        self._execute_effects = execute_effects
        self._check_suspension = check_suspension

    @property
    def configuration(self) -> Configuration:
        """The configuration in force on this node."""
        return self._config.configuration

    def locate(self, service: str, key: str) -> Result[Route, Refusal]:
        """Return the route to the owner of a key; count the request if it is local."""
        shards = self._core.state.shards
        found = locate_shard(self._config.configuration, service, key, shards)
        if not is_successful(found):
            return found
        shard = found.unwrap()
        owner = self._core.find_owner(shard)
        if owner is None:
            refusal = Refusal(
                kind=ErrorKind.NO_OWNER, detail=shard, retry_after_s=RETRY_AFTER_S
            )
            return Failure(refusal)
        local = owner.incarnation == self._core.incarnation
        if local:
            self._loads.record_arrival(
                shard, shard if is_hot_shard(shard) else derive_hot_shard_id(shard, key)
            )
        return Success(_make_route(shard, owner, local=local))

    def list_nodes(self, service: str) -> tuple[Route, ...]:
        """Return the live nodes of an unsharded service, nearest first.

        Those in evacuated data centres are left out if there are others.
        """
        local_member = self._core.state.members.get(self._core.incarnation)
        members = [
            member
            for member in self._core.state.list_live_members()
            if member.service == service and self._is_routable(member)
        ]
        evacuated = self.configuration.evacuated
        if evacuated:
            outside = [m for m in members if m.data_centre not in evacuated]
            # If there are none, the nodes themselves know until when they serve.
            members = outside or members
        members.sort(key=lambda member: _rank_distance(member, local_member))
        return tuple(
            _make_route(
                ShardId(""),
                member,
                local=member.incarnation == self._core.incarnation,
                near=local_member is None
                or member.data_centre == local_member.data_centre,
            )
            for member in members
        )

    def _is_routable(self, member: Member) -> bool:
        """Tell whether a node is local or has a lease not known to have ended."""
        if member.incarnation == self._core.incarnation:
            return True
        lease = self._core.state.find_live_lease(member.incarnation)
        return lease is not None and not self._core.is_ended(lease)

    def find_obstacle(self, shard: ShardId) -> Refusal | None:
        """Return why requests for a shard may not be forwarded now, if so."""
        self._check_suspension()
        return self._core.find_obstacle(shard, asyncio.get_running_loop().time())

    def authorize(self, shard: ShardId) -> Result[Grant, Refusal]:
        """Return a grant to forward one request to the upstream now.

        Each success must be paired with one call of :meth:`finish`.
        """
        self._check_suspension()
        now = asyncio.get_running_loop().time()
        result = self._core.authorize(shard, now)
        if not is_successful(result):
            return result
        owned_shard, generation = result.unwrap()
        grant = Grant(
            shard=shard,
            token=owned_shard.confirmed_token,
            generation=generation,
            remaining_s=owned_shard.holder.valid_until_s - now,
        )
        return Success(grant)

    def finish(self, grant: Grant, *, service_time_s: float | None) -> None:
        """Report the end of an authorized request.

        Args:
            grant: The grant under which it was forwarded.
            service_time_s: Seconds that the upstream took; ``None`` if not
                representative of further requests.
        """
        now = asyncio.get_running_loop().time()
        if service_time_s is not None:
            self._loads.record_completion(grant.shard, service_time_s)
        self._execute_effects(self._core.finish(grant.shard, grant.generation, now=now))

    def renew_grant(self, grant: Grant) -> None:
        """Grant a shard again to an upstream that does not know the grant."""
        now = asyncio.get_running_loop().time()
        self._execute_effects(self._core.renew_grant(grant.shard, grant.token, now=now))

    def find_tenure(self, service: str, key: str) -> KeyTenure | None:
        """Return the tenures of a key, ``None`` if this node does not own the key."""
        configuration = self._config.configuration
        shards = self._core.state.shards
        owned_shards = self._core.context.owned_shards
        shard = locate_shard(configuration, service, key, shards).value_or(None)
        if shard is None:
            return None
        if is_hot_shard(shard):
            related = find_parent_shard(configuration, shard)
            if related is None:
                return None
        else:
            related = derive_hot_shard_id(shard, key)
        return find_key_tenure(owned_shards, shard, related)


def _make_route(
    shard: ShardId, member: Member, *, local: bool, near: bool = True
) -> Route:
    return Route(
        shard=shard,
        local=local,
        incarnation=member.incarnation,
        address=member.address,
        in_local_data_centre=near,
    )


def _rank_distance(
    member: Member, local_member: Member | None
) -> tuple[bool, bool, str]:
    if local_member is None:
        return False, False, member.incarnation
    return (
        member.data_centre != local_member.data_centre,
        member.region != local_member.region,
        member.incarnation,
    )
