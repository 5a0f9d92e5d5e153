"""Fleets of real nodes on a paused clock whose data centres are evacuated."""

import asyncio
import dataclasses
import json

from papayatack.core.inventory import Configuration, KeyRange, Place, Service
from papayatack.core.records import CONFIG_STREAM
from papayatack.core.shards import is_hot_shard
from papayatack.logservice.decoding import LoggedRecord, RecordDecoder
from papayatack.observability.metrics import Metrics
from papayatack.platform.manifest import ManifestFold
from tests.fakes.clocks import FreezableLoop
from tests.fakes.platformfleet import QUICK_PLACEMENT, SERVICE, PlatformFleet

__all__ = ["BOUND_S", "EvacuationFleet", "run_fleet"]

BOUND_S = 5.0
LOOK_S = 0.01
STARTUP_S = 8.0
KEYS_PER_SHARD = 8
UNBALANCED = dataclasses.replace(QUICK_PLACEMENT, max_moves=0)


def build_configuration(*, shards, places):
    """Return a configuration with one sharded service."""
    return Configuration(
        version=1,
        services=(
            Service(
                name=SERVICE,
                prefix="",
                key_ranges=(
                    KeyRange(
                        name="keys", shards=shards, numbers=shards * KEYS_PER_SHARD
                    ),
                ),
                slots=8,
                connections=100,
                deadline_s=3.0,
                warm_up_s=3.0,
                places=places,
            ),
        ),
        places=tuple(Place(name=name, region="r") for name in places),
    )


class _Decoder(RecordDecoder):
    """Decodes config records that only list the evacuated data centres."""

    def __init__(self, configuration):
        super().__init__(metrics=Metrics())
        self._configuration = configuration

    def decode(self, stream, offset, payload):
        """Decode a record."""
        if stream != CONFIG_STREAM:
            return super().decode(stream, offset, payload)
        evacuated = frozenset(json.loads(payload))
        record = dataclasses.replace(self._configuration, evacuated=evacuated)
        return LoggedRecord(offset=offset, record=record)


class EvacuationFleet(PlatformFleet):
    """A fleet that follows a config stream with sets of evacuated data centres.

    Args:
        seed: Seed of the random latencies and requests.
        nodes: Number of nodes.
        shards: Number of shards.
        places: Data centres, to which the nodes belong in turn.
        balances: Whether the planner also moves shards to balance load.

    Attributes:
        reached: Time and data centre of each request that was sent to an upstream.
        unserved_s: Longest time without a node that serves it, by shard.
    """

    def __init__(
        self,
        *,
        seed,
        nodes,
        shards=512,
        places=("east", "west", "south"),
        balances=True,
    ):
        super().__init__(
            seed=seed,
            configuration=build_configuration(shards=shards, places=places),
            placement=QUICK_PLACEMENT if balances else UNBALANCED,
        )
        self.long_share = 0.0
        self.hot_keys = range(self.keys)
        self.reached = []
        self.unserved_s = {}
        self._served_s = {}
        self.order()
        for number in range(nodes):
            self.add(f"n{number}", places[number % len(places)])

    def build_config(self):
        """Return the state of a node that has read no configuration yet."""
        return ManifestFold(places=self.configuration.places)

    def build_decoder(self):
        """Return what reads the sets."""
        return _Decoder(self.configuration)

    def order(self, *names):
        """Store the set of evacuated data centres; return the time."""
        self.store.append(CONFIG_STREAM, json.dumps(names).encode())
        return asyncio.get_running_loop().time()

    def may_send(self, slot, control):
        """Check as the node beside the upstream does, and note the request."""
        if control.evacuation.find_obstacle() is not None:
            return False
        now = asyncio.get_running_loop().time()
        self.reached.append((now, slot.data_centre))
        return True

    def list_serving(self):
        """Return the shards that each node serves now, without those of hot keys."""
        now = asyncio.get_running_loop().time()
        return {
            name: {
                shard
                for shard, owned in slot.control.core.context.owned_shards.owned.items()
                if owned.confirmed_token
                and now < owned.holder.valid_until_s
                and not is_hot_shard(shard)
            }
            for name, slot in self.slots.items()
            if slot.control is not None and slot.control.evacuation.may_send(now)
        }

    def list_owners(self):
        """Return the machine that serves each shard."""
        return {
            shard: name
            for name, shards in self.list_serving().items()
            for shard in shards
        }

    def count_owned(self, *places):
        """Return how many shards the nodes of data centres own."""
        return sum(
            len(slot.control.core.context.owned_shards.owned)
            for slot in self.slots.values()
            if slot.data_centre in places and slot.control is not None
        )

    def count_served(self):
        """Return how many shards any node serves now."""
        return len(set().union(*self.list_serving().values()))

    async def watch_shards(self):
        """Measure for how long shards are not served, until cancelled."""
        loop = asyncio.get_running_loop()
        while True:
            now = loop.time()
            for shard in set().union(*self.list_serving().values()):
                gap_s = now - self._served_s.get(shard, now)
                self.unserved_s[shard] = max(self.unserved_s.get(shard, 0.0), gap_s)
                self._served_s[shard] = now
            await asyncio.sleep(LOOK_S)

    def find_longest_gap_s(self):
        """Return the longest time for which a shard was not served, until now."""
        now = asyncio.get_running_loop().time()
        last_s = max(now - served_s for served_s in self._served_s.values())
        return max(last_s, *self.unserved_s.values())

    async def wait_out(self, *places):
        """Wait until nodes of data centres own nothing; return the time."""
        loop = asyncio.get_running_loop()
        while self.count_owned(*places):
            await asyncio.sleep(LOOK_S)
        return loop.time()

    def list_late(self, place, from_s, to_s=float("inf")):
        """Return when requests were sent to upstreams of a data centre in a time."""
        return [
            at for at, other in self.reached if other == place and from_s <= at < to_s
        ]


def run_fleet(play, **options):
    """Return the result of ``play(fleet)`` on a fleet that has settled."""

    async def run():
        fleet = EvacuationFleet(**options)
        await asyncio.sleep(STARTUP_S)
        watching = asyncio.create_task(fleet.watch_shards())
        try:
            return await play(fleet)
        finally:
            watching.cancel()
            await fleet.stop()

    with asyncio.Runner(loop_factory=FreezableLoop) as runner:
        return runner.run(run())
