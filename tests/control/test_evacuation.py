"""Tests of papayatack.control.evacuation and of the nodes without keys."""

import asyncio

from papayatack.control.directory import Directory
from papayatack.control.evacuation import EvacuationControl
from papayatack.control.loads import LoadMeter
from papayatack.control.provenance import Provenance
from papayatack.core.errors import ErrorKind
from papayatack.core.identity import LeaseId
from papayatack.core.inventory import Configuration
from papayatack.core.ownership.node import NodeCore
from papayatack.core.ownership.state import OwnershipState
from papayatack.core.records import Admit, Announce
from papayatack.observability.metrics import Metrics
from tests.fakes.virtual_time import VirtualTimeTestCase

SERVICE = "papers"
PLACES = {"a": "east", "b": "west", "c": "south"}
BOUND_S = 5.0


class Config:
    """A config state."""

    def __init__(self):
        self.configuration = Configuration(version=1)


class EvacuationControlTests(VirtualTimeTestCase):
    """The node in the east of three nodes with a service without keys."""

    async def asyncSetUp(self):
        self.config = Config()
        self.metrics = Metrics()
        self.calls = []
        announcements = [
            Announce(
                record_id=f"announce-{name}",
                writer=f"{name}#1",
                incarnation=f"{name}#1",
                address=name,
                operator_address=name,
                data_centre=place,
                region="r",
                service=SERVICE,
                upstream=name,
                slots=4,
                connections=4,
            )
            for name, place in PLACES.items()
        ]
        self.core = NodeCore(
            announcement=announcements[0],
            state=OwnershipState(),
            now=0.0,
            find_service=lambda name: None,
        )
        records = [
            *announcements,
            *(
                Admit(
                    record_id=f"admit-{name}",
                    writer=f"{name}#1",
                    lease=LeaseId(f"{name}#1", 1),
                    witnesses=(),
                )
                for name in PLACES
            ),
        ]
        for offset, record in enumerate(records):
            self.core.apply_record(offset, record, now=0.0)
        self.control = EvacuationControl(
            core=self.core,
            data_centre="east",
            bound_s=BOUND_S,
            execute_effects=lambda effects: None,
            check_suspension=lambda: None,
            metrics=self.metrics,
        )
        self.control.on_end = lambda refusal: self.calls.append(refusal.kind)
        self.control.on_return = lambda: self.calls.append("return")
        self.directory = Directory(
            core=self.core,
            config=self.config,
            loads=LoadMeter(now=0.0),
            execute_effects=lambda effects: None,
            check_suspension=lambda: None,
        )

    def order(self, *places, age_s=0.2):
        """Apply a set of evacuated data centres."""
        now = asyncio.get_running_loop().time()
        evacuated = frozenset(places)
        self.config.configuration = Configuration(version=1, evacuated=evacuated)
        provenance = Provenance(read_s=now)
        with self.assertLogs("papayatack", "WARNING") as logs:
            self.control.note_configuration(evacuated, provenance, now - age_s)
        return [record.getMessage() for record in logs.records]

    async def wait(self, duration_s):
        """Let time pass; return why nothing may be sent then, if so."""
        await asyncio.sleep(duration_s)
        self.control.advance(asyncio.get_running_loop().time())
        refusal = self.control.find_obstacle()
        return refusal and refusal.kind

    def list_nodes(self):
        """Return the machines to which requests without keys may go."""
        return [route.address for route in self.directory.list_nodes(SERVICE)]

    async def test_order_and_return(self):
        """The upstream is used until the end, and again after the return."""
        self.assertEqual(self.order("east"), ["DATA_CENTRE_EVACUATED"])
        self.assertIsNone(await self.wait(4.0))
        self.assertIs(await self.wait(0.5), ErrorKind.DATA_CENTRE_EVACUATED)
        self.assertIs(await self.wait(0.1), ErrorKind.DATA_CENTRE_EVACUATED)
        self.assertEqual(self.order(), ["DATA_CENTRE_RETURNED"])
        self.assertIsNone(await self.wait(0.0))
        self.assertEqual(self.calls, [ErrorKind.DATA_CENTRE_EVACUATED, "return"])
        kind = ErrorKind.DATA_CENTRE_EVACUATED.value
        self.assertEqual(self.metrics.read_count("evacuation_refusals", kind), 2)

    async def test_other_data_centre_changes_nothing_here(self):
        """Only the choice of nodes without keys follows it."""
        self.order("west")
        self.assertIsNone(await self.wait(10.0))
        self.assertEqual(self.list_nodes(), ["a", "c"])
        self.order()
        self.assertEqual(self.calls, [])

    async def test_requests_without_keys_go_elsewhere_at_once(self):
        """Also those of callers of the evacuated node itself."""
        self.assertEqual(self.list_nodes(), ["a", "b", "c"])
        self.order("east")
        self.assertEqual(self.list_nodes(), ["b", "c"])

    async def test_service_that_has_no_other_data_centre(self):
        """It is used until the end, with a warning, and then refused for good."""
        self.order(*PLACES.values())
        self.assertEqual(self.list_nodes(), ["a", "b", "c"])
        with self.assertLogs("papayatack", "WARNING") as logs:
            self.assertIsNone(await self.wait(1.0))
        self.assertEqual(logs.records[0].getMessage(), "SERVICE_EVACUATED")
        self.assertEqual(logs.records[0].service, SERVICE)
        self.assertIs(await self.wait(4.0), ErrorKind.SERVICE_EVACUATED)

    async def test_node_that_has_just_started_never_sends(self):
        """It does not know how old the order is."""
        self.order("east", age_s=float("inf"))
        self.assertIs(await self.wait(0.0), ErrorKind.DATA_CENTRE_EVACUATED)

    async def test_standstill_ends_the_use_at_once(self):
        """The clock may have stood still meanwhile."""
        self.order("east")
        self.control.expire()
        self.assertIs(await self.wait(0.0), ErrorKind.DATA_CENTRE_EVACUATED)
