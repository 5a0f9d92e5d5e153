"""Small fleets for the planner's tests, and a simplified fold of its plans."""

import dataclasses
import itertools

from papayatack.core.identity import IncarnationId, LeaseId, ShardId
from papayatack.core.inventory import (
    Configuration,
    KeyRange,
    KeySource,
    LocalityRule,
    Place,
    Service,
)
from papayatack.core.messages import LoadReport, ShardLoad
from papayatack.core.placement import (
    PlacementLimits,
    PlacementNode,
    PlacementShard,
    PlacementView,
    plan_placement,
)

SERVICE = "orders"
RANGE = "all"


def make_configuration(*, shards=12, places=3, regions=1, locality=None, retired=False):
    """Return a configuration with one keyed service."""
    names = [f"dc{number}" for number in range(places)]
    key_range = KeyRange(name=RANGE, shards=shards, retired=retired)
    service = Service(
        name=SERVICE,
        prefix="/orders",
        key=KeySource(kind="path", name="1"),
        key_ranges=(key_range,),
        places=tuple(names),
    )
    rules = (LocalityRule(service=SERVICE, key_range=RANGE, place=locality),)
    return Configuration(
        version=1,
        services=(service,),
        places=tuple(
            Place(name=name, region=f"r{number % regions}")
            for number, name in enumerate(names)
        ),
        localities=rules if locality else (),
    )


def make_node(number, *, places=3, regions=1, slots=14, leaving=False, age_s=3600.0):
    """Return a warmed-up node; data centres are assigned to nodes in turn."""
    place = number % places
    return PlacementNode(
        lease=LeaseId(IncarnationId(f"10.0.0.{number}:7000#a"), 1),
        data_centre=f"dc{place}",
        region=f"r{place % regions}",
        service=SERVICE,
        slots=slots,
        leaving=leaving,
        age_s=age_s,
    )


def make_view(*, nodes=6, shards=12, places=3, regions=1, **changes):
    """Return a view of a fleet without assignments."""
    view = PlacementView(
        configuration=make_configuration(shards=shards, places=places, regions=regions),
        nodes=tuple(
            make_node(number, places=places, regions=regions) for number in range(nodes)
        ),
        shards={},
    )
    return dataclasses.replace(view, **changes)


def shard_id(number):
    """Return the id of a shard by its number."""
    return ShardId(f"{SERVICE}/{RANGE}/{number}")


def report_loads(view, busy, hot_keys=()):
    """Return the view with each shard's load reported by its owner.

    Args:
        view: A view in which shards are assigned.
        busy: Load by shard.
        hot_keys: Parent, shard id and load of each hot key, as reported by the owner
            of the parent.
    """
    reports = []
    for node in view.nodes:
        incarnation = node.lease.incarnation
        loads = tuple(
            ShardLoad(shard=shard, rate=load * 100, busy=load)
            for shard, load in busy.items()
            if shard in view.shards
            and view.shards[shard].chain
            and view.shards[shard].chain[0].incarnation == incarnation
        )
        hot = tuple(
            ShardLoad(shard=shard, rate=load * 100, busy=load)
            for parent, shard, load in hot_keys
            if view.shards[parent].chain[0].incarnation == incarnation
        )
        total = sum(load.busy for load in loads)
        reports.append(
            LoadReport(incarnation=incarnation, busy=total, shards=loads, hot_keys=hot)
        )
    return dataclasses.replace(view, loads=tuple(reports))


def apply_plan(view, planned, *, moving=False):
    """Return the view after a simplified fold of the plan's assignments."""
    shards = dict(view.shards)
    for entry in planned.assignments:
        state = shards.get(entry.shard, PlacementShard(epoch=0, chain=()))
        if state.epoch != entry.base_epoch:
            continue
        if entry.parent:
            parent = shards[entry.parent]
            if parent.epoch != entry.parent_epoch:
                continue
            if not entry.chain:
                del shards[entry.shard]
                continue
            epoch = 1 + max(state.epoch for state in shards.values())
        else:
            epoch = state.epoch + 1
        shards[entry.shard] = PlacementShard(
            epoch=epoch, chain=entry.chain, moving=moving
        )
    return dataclasses.replace(view, shards=shards)


def settle(view, busy=None, *, limits=None, rounds=50):
    """Plan until nothing changes; return the view and the number of moves."""
    limits = limits or PlacementLimits()
    moved = 0
    for _ in range(rounds):
        if busy is not None:
            view = report_loads(view, busy)
        planned = plan_placement(view, limits=limits)
        if not planned.assignments:
            return view, moved
        after = apply_plan(view, planned)
        moved += count_moved(view, after)
        view = after
    raise AssertionError(f"the plan still has changes after {rounds} rounds")


def count_moved(before, after):
    """Return the number of shards whose owner differs between two views."""
    return sum(
        before.shards[shard].chain[:1] != state.chain[:1]
        for shard, state in after.shards.items()
        if shard in before.shards
    )


def remove_node(view, number):
    """Return the view without one node."""
    gone = view.nodes[number].lease.incarnation
    nodes = tuple(n for n in view.nodes if n.lease.incarnation != gone)
    return dataclasses.replace(view, nodes=nodes)


def sum_loads(view, busy):
    """Return the load of each node by lease."""
    totals = {node.lease: 0.0 for node in view.nodes}
    for shard, state in view.shards.items():
        if state.chain and state.chain[0] in totals:
            totals[state.chain[0]] += busy.get(shard, 0.0)
    return totals


def list_places(view, chain):
    """Return the data centre of each holder of a chain."""
    places = {node.lease: node.data_centre for node in view.nodes}
    return [places[lease] for lease in chain]


def find_best_maximum(busy, nodes):
    """Return the lowest possible maximum load, by exhaustive search."""
    loads = list(busy.values())
    best = sum(loads)
    for owners in itertools.product(range(nodes), repeat=len(loads)):
        totals = [0.0] * nodes
        for owner, load in zip(owners, loads, strict=True):
            totals[owner] += load
        best = min(best, max(totals))
    return best
