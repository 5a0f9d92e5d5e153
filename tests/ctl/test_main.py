"""Tests of papayatack.ctl.main: the command against an endpoint in this process."""

import io
import json
import pathlib
import tempfile
import unittest

from papayatack.ctl.exits import ExitStatus
from papayatack.ctl.main import run
from tests.core.test_configuration import EXAMPLES, read_example
from tests.ctl.endpoint import Endpoint

INVENTORY = str(EXAMPLES / "estonia" / "inventory.toml")
RULES = str(EXAMPLES / "estonia" / "rules.toml")
AWAY = "127.0.0.1:1"


def make_status(address, *, incarnation="n1", version=3, nodes=()):
    """Return the document of GET /status."""
    return {
        "incarnation": incarnation,
        "operator_address": address,
        "data_centre": "narva",
        "region": "estonia-north",
        "service": "ordering",
        "state": "serving",
        "config_version": version,
        "log_reachable": True,
        "lease": {"id": incarnation, "term": 1, "remaining_ms": 900.0},
        "shards_owned": 7,
        "nodes": list(nodes),
        "a_field_of_a_newer_node": 1,
    }


class CommandTestCase(unittest.TestCase):
    """Runs commands and keeps what they print."""

    def setUp(self):
        """Start an endpoint."""
        self.endpoint = Endpoint()
        self.addCleanup(self.endpoint.close)

    def run_command(self, *words, node=None, timeout="0.3"):
        """Return exit status, standard output and standard error."""
        stdout, stderr = io.StringIO(), io.StringIO()
        flags = [f"--timeout={timeout}", f"--node={node or self.endpoint.address}"]
        argv = ["papayatackctl", *words, *flags]
        status = run(argv, stdout=stdout, stderr=stderr)
        return status, stdout.getvalue(), stderr.getvalue()

    def write_file(self, text):
        """Return the path of a temporary file."""
        folder = tempfile.TemporaryDirectory()
        self.addCleanup(folder.cleanup)
        path = pathlib.Path(folder.name) / "inventory.toml"
        path.write_text(text, encoding="utf-8")
        return str(path)


class UsageTests(CommandTestCase):
    """Command lines that cannot be run."""

    def test_usage_faults(self):
        """Unknown commands, flags and argument counts end with status 2."""
        cases = [
            ("nothing",),
            ("check",),
            ("explain", "ordering"),
            ("watch", "soon"),
            ("status", "--colour"),
            ("publish", "/no/such/file"),
        ]
        for words in cases:
            with self.subTest(words=words):
                status, _, stderr = self.run_command(*words)
                self.assertEqual(status, ExitStatus.USAGE)
                self.assertIn("papayatackctl:", stderr)

    def test_no_node(self):
        """Without a node the remedy is named."""
        stdout, stderr = io.StringIO(), io.StringIO()
        status = run(["papayatackctl", "status"], stdout=stdout, stderr=stderr)
        self.assertEqual(status, ExitStatus.USAGE)
        self.assertIn("--node=IP:PORT", stderr.getvalue())

    def test_node_away(self):
        """A node that cannot be reached ends with status 3, also as JSON."""
        status, _, stderr = self.run_command("status", node=AWAY)
        self.assertEqual(status, ExitStatus.AWAY)
        self.assertIn(AWAY, stderr)
        status, stdout, _ = self.run_command("status", "--json", node=AWAY)
        self.assertEqual(json.loads(stdout)["status"], status)

    def test_second_node_is_tried(self):
        """A read succeeds through the next node named."""
        address = self.endpoint.address
        self.endpoint.answer("GET", "/status", (200, make_status(address)))
        status, stdout, _ = self.run_command(f"--node={AWAY}", "status")
        self.assertEqual(status, ExitStatus.DONE)
        self.assertIn("shards owned", stdout)

    def test_status_tells_whether_the_upstream_is_cold(self):
        """Only for services with a limit for cold upstreams."""
        document = make_status(self.endpoint.address)
        self.endpoint.answer("GET", "/status", (200, document))
        _, stdout, _ = self.run_command("status")
        self.assertNotIn("cold", stdout)
        document["coldness"] = {
            "is_cold": True,
            "source": "health-check",
            "remaining_ms": 4200,
            "age_ms": 1800,
            "room": 3,
        }
        self.endpoint.answer("GET", "/status", (200, document))
        _, stdout, _ = self.run_command("status")
        self.assertIn(
            "cold for 4.2 s more (health-check 1.8 s ago), room for 3 requests", stdout
        )

    def test_status_shows_evacuations(self):
        """Also whether the node's own upstream is still used."""
        for is_used, expected in ((True, "is still used"), (False, "gets nothing")):
            changes = {"evacuated": ["narva"], "sends_to_upstream": is_used}
            document = make_status(self.endpoint.address) | changes
            self.endpoint.answer("GET", "/status", (200, document))
            _, stdout, _ = self.run_command("status")
            self.assertIn(f"narva; the upstream here {expected}", stdout)

    def test_not_a_node(self):
        """An endpoint of another program is named as such."""
        self.endpoint.answer("GET", "/status", (200, "<html>"))
        status, _, stderr = self.run_command("status")
        self.assertEqual(status, ExitStatus.AWAY)
        self.assertIn("not understood", stderr)


class CheckTests(CommandTestCase):
    """papayatackctl check."""

    def test_faults_are_listed(self):
        """Each fault is printed with its place."""
        path = self.write_file(read_example("estonia")[0].replace("slots = 18", ""))
        status, _, stderr = self.run_command("check", path)
        self.assertEqual(status, ExitStatus.USAGE)
        self.assertIn("services[1] (ordering).slots: missing", stderr)
        self.assertIn("services[2] (documents).slots: missing", stderr)

    def test_change_is_compared(self):
        """With a node, the change from what is in force is shown or refused."""
        inventory, rules = read_example("estonia")
        answer = {"version": 4, "inventory": inventory, "rules": rules}
        self.endpoint.answer("GET", "/config", (200, answer))
        path = self.write_file(inventory.replace("slots = 18", "slots = 20", 1))
        status, stdout, _ = self.run_command("check", path, RULES)
        self.assertEqual(status, ExitStatus.DONE)
        self.assertIn("services ordering: slots: 18 -> 20", stdout)
        path = self.write_file(inventory.replace("shards = 64", "shards = 65"))
        status, _, stderr = self.run_command("check", path, RULES)
        self.assertEqual(status, ExitStatus.USAGE)
        self.assertIn("shards cannot change", stderr)


class PublishTests(CommandTestCase):
    """papayatackctl publish."""

    def publish(self, *answers, words=("--base=3",), node=None):
        """Run the command against the given answers."""
        self.endpoint.answer("POST", "/publish", *answers)
        return self.run_command("publish", INVENTORY, RULES, *words, node=node)

    def test_accepted(self):
        """The documents are sent with their base and the new version is named."""
        answer = {"result": "accepted", "version": 4}
        status, stdout, _ = self.publish((200, answer))
        self.assertEqual(status, ExitStatus.DONE)
        self.assertIn("accepted as version 4", stdout)
        (sent,) = self.endpoint.list_bodies("/publish")
        self.assertEqual(sent["base_version"], 3)
        self.assertEqual(sent["inventory"], read_example("estonia")[0])
        self.assertEqual(sent["rules"], read_example("estonia")[1])

    def test_conflict(self):
        """A lost race says what came in between."""
        answer = {"result": "conflict", "version": 5, "difference": ["slots: 1 -> 2"]}
        status, stdout, _ = self.publish((409, answer))
        self.assertEqual(status, ExitStatus.REFUSED)
        self.assertIn("version 5 is in force", stdout)
        self.assertIn("slots: 1 -> 2", stdout)

    def test_invalid(self):
        """Each fault that the fold found is printed."""
        answer = {"result": "invalid", "faults": ["shards cannot change"]}
        status, stdout, _ = self.publish((422, answer))
        self.assertEqual(status, ExitStatus.REFUSED)
        self.assertIn("shards cannot change", stdout)

    def test_unknown_is_resolved_under_one_id(self):
        """An unanswered publication is sent again with the same id."""
        answer = {"result": "accepted", "version": 4}
        unknown = {"result": "unknown", "detail": "lost"}
        self.endpoint.answer(
            "POST", "/publish", (None, {}), (503, unknown), (200, answer)
        )
        status, _, _ = self.run_command(
            "publish", INVENTORY, RULES, "--base=3", timeout="20"
        )
        self.assertEqual(status, ExitStatus.DONE)
        ids = [body["record_id"] for body in self.endpoint.list_bodies("/publish")]
        self.assertEqual(len(ids), 3)
        self.assertEqual(len(set(ids)), 1)

    def test_unknown_stays_unknown(self):
        """Without an outcome, status 4 and the id to ask again with are given."""
        unknown = {"result": "unknown", "detail": "lost"}
        status, _, stderr = self.publish((503, unknown))
        self.assertEqual(status, ExitStatus.UNKNOWN)
        sent = self.endpoint.list_bodies("/publish")[0]["record_id"]
        self.assertIn(f"--record_id={sent}", stderr)

    def test_refused_by_the_log(self):
        """A publication that the log did not take ends with status 3."""
        answer = {"result": "refused", "detail": "the log is away"}
        status, stdout, _ = self.publish((503, answer))
        self.assertEqual(status, ExitStatus.AWAY)
        self.assertIn("the log is away", stdout)

    def test_never_sent(self):
        """If no node is reached nothing was changed, which is said."""
        status, _, stderr = self.publish((200, {}), node=AWAY)
        self.assertEqual(status, ExitStatus.AWAY)
        self.assertIn("nothing was changed", stderr)

    def test_base_is_never_guessed(self):
        """Documents of unknown origin are not published over a version in force."""
        answer = {"version": 2, "inventory": "", "rules": ""}
        self.endpoint.answer("GET", "/config", (200, answer))
        status, _, stderr = self.publish((200, {}), words=())
        self.assertEqual(status, ExitStatus.USAGE)
        self.assertIn("--base", stderr)
        self.assertEqual(self.endpoint.list_bodies("/publish"), [])

    def test_first_publication_needs_no_base(self):
        """Before the first publication there is nothing to overwrite."""
        answer = {"version": 0, "inventory": "", "rules": ""}
        self.endpoint.answer("GET", "/config", (200, answer))
        accepted = {"result": "accepted", "version": 1}
        status, _, _ = self.publish((200, accepted), words=())
        self.assertEqual(status, ExitStatus.DONE)
        self.assertEqual(self.endpoint.list_bodies("/publish")[0]["base_version"], 0)

    def test_written_documents_name_their_version(self):
        """Documents from `config --out` are published from that version, unchanged."""
        inventory, rules = read_example("estonia")
        answer = {"version": 6, "inventory": inventory, "rules": rules}
        self.endpoint.answer("GET", "/config", (200, answer))
        accepted = {"result": "accepted", "version": 7}
        self.endpoint.answer("POST", "/publish", (200, accepted))
        with tempfile.TemporaryDirectory() as folder:
            self.run_command("config", f"--out={folder}")
            files = [f"{folder}/inventory.toml", f"{folder}/rules.toml"]
            status, _, _ = self.run_command("publish", *files)
        self.assertEqual(status, ExitStatus.DONE)
        (sent,) = self.endpoint.list_bodies("/publish")
        self.assertEqual(sent["base_version"], 6)
        self.assertEqual((sent["inventory"], sent["rules"]), (inventory, rules))


class WatchTests(CommandTestCase):
    """papayatackctl watch."""

    def watch(self, version, *versions, extra=(), timeout="0.3"):
        """Watch for a version while the first node answers ``versions`` in turn."""
        own = self.endpoint.address
        other = Endpoint()
        self.addCleanup(other.close)
        nodes = [
            {"incarnation": "n1", "operator_address": own, "state": "serving"},
            {"incarnation": "n2", "operator_address": other.address, "state": "cold"},
            {"incarnation": "n0", "operator_address": AWAY, "state": "lost"},
            *extra,
        ]
        answers = [(200, make_status(own, version=v, nodes=nodes)) for v in versions]
        self.endpoint.answer("GET", "/status", *answers)
        status = make_status(other.address, incarnation="n2", version=9)
        other.answer("GET", "/status", (200, status))
        return self.run_command("watch", str(version), timeout=timeout)

    def test_in_force_on_all(self):
        """It ends once the last node has the version; lost ones do not count."""
        status, stdout, _ = self.watch(4, 3, 3, 3, 4, timeout="20")
        self.assertEqual(status, ExitStatus.DONE)
        self.assertIn("in force on all 2 nodes", stdout)

    def test_node_behind(self):
        """A node with an older version is named at the end."""
        status, stdout, _ = self.watch(4, 3)
        self.assertEqual(status, ExitStatus.REFUSED)
        self.assertIn(self.endpoint.address, stdout)

    def test_node_away(self):
        """A node that does not answer is named at the end."""
        away = {"incarnation": "n3", "operator_address": AWAY, "state": "serving"}
        status, stdout, _ = self.watch(4, 4, extra=(away,))
        self.assertEqual(status, ExitStatus.AWAY)
        self.assertIn("no answer", stdout)

    def test_successor_at_the_same_address_is_not_counted(self):
        """An answer by another incarnation says nothing of the one asked for."""
        other = {
            "incarnation": "n1-old",
            "operator_address": self.endpoint.address,
            "state": "serving",
        }
        status, stdout, _ = self.watch(4, 4, extra=(other,))
        self.assertEqual(status, ExitStatus.AWAY)
        self.assertIn("n1-old", stdout)


class OtherCommandTests(CommandTestCase):
    """The remaining commands."""

    def test_drain(self):
        """The node is told once it is named, and only that one."""
        self.endpoint.answer("POST", "/drain", (202, {}))
        status, stdout, _ = self.run_command("drain")
        self.assertEqual(status, ExitStatus.DONE)
        self.assertIn("drains", stdout)
        status, _, _ = self.run_command("drain", f"--node={AWAY}")
        self.assertEqual(status, ExitStatus.USAGE)

    def test_quarantine_lists_suspects_and_lift_names_those_not_known(self):
        suspect = {
            "fingerprint": "f1",
            "service": "desk",
            "caller": "papers",
            "rounds": 3,
            "is_refused": True,
            "upstreams": ["i-1", "i-2"],
        }
        self.endpoint.answer("GET", "/quarantine", (200, {"suspects": [suspect]}))
        status, stdout, _ = self.run_command("quarantine")
        self.assertEqual(status, ExitStatus.DONE)
        self.assertRegex(stdout, r"f1 +desk +papers +refused +3 +i-1 i-2")
        answer = {"lifted": ["f1"], "unknown": ["f2"]}
        self.endpoint.answer("POST", "/lift", (200, answer))
        status, stdout, _ = self.run_command("lift", "f1", "f2")
        self.assertEqual(status, ExitStatus.REFUSED)
        self.assertIn("lifted: f1", stdout)
        self.assertIn("not known, or already lifted: f2", stdout)
        (sent,) = self.endpoint.list_bodies("/lift")
        self.assertEqual(sent, {"fingerprints": ["f1", "f2"]})

    def test_declare_lost(self):
        """Incarnations are sent; refusals are told."""
        self.endpoint.answer(
            "POST", "/declare-lost", (200, {}), (409, {"detail": "n2 is alive"})
        )
        status, _, _ = self.run_command("declare-lost", "n1", "n2")
        self.assertEqual(status, ExitStatus.DONE)
        (sent,) = self.endpoint.list_bodies("/declare-lost")
        self.assertEqual(sent, {"incarnations": ["n1", "n2"]})
        status, stdout, _ = self.run_command("declare-lost", "n2")
        self.assertEqual(status, ExitStatus.REFUSED)
        self.assertIn("n2 is alive", stdout)

    def test_explain(self):
        """The key travels whole, and owner, chain and reasons are shown."""
        answer = {
            "shard": "ordering/orders/5",
            "epoch": 3,
            "owner": "n1/1",
            "chain": [{"lease": "n1/1", "state": "serving", "reason": "holds a lease"}],
            "why": ["n1/1 is first in the chain"],
        }
        self.endpoint.answer("GET", "/explain", (200, answer))
        status, stdout, _ = self.run_command("explain", "ordering", "order:1&a=/ä")
        self.assertEqual(status, ExitStatus.DONE)
        for part in ("ordering/orders/5", "holds a lease", "first in the chain"):
            self.assertIn(part, stdout)
        target = self.endpoint.requests[0][1]
        self.assertEqual(
            target, "/explain?service=ordering&key=order%3A1%26a%3D%2F%C3%A4"
        )

    def test_explain_refused(self):
        """A key that is out of range ends with status 1."""
        self.endpoint.answer("GET", "/explain", (404, {"error": "key-out-of-range"}))
        status, _, stderr = self.run_command("explain", "ordering", "x")
        self.assertEqual(status, ExitStatus.REFUSED)
        self.assertIn("key-out-of-range", stderr)

    def test_counters(self):
        """Counters that are not zero are shown with their reasons."""
        text = (
            "# TYPE papayatack_refused_total counter\n"
            'papayatack_refused_total{reason="queue-full"} 3.0\n'
            'papayatack_refused_total{reason="no-owner"} 0.0\n'
        )
        self.endpoint.answer("GET", "/metrics", (200, text))
        latency = {"request": {"count": 5, "p99_us": 1200}}
        self.endpoint.answer("GET", "/latency", (200, latency))
        status, stdout, _ = self.run_command("counters")
        self.assertEqual(status, ExitStatus.DONE)
        self.assertIn("queue-full", stdout)
        self.assertNotIn("no-owner", stdout)
        self.assertIn("1200", stdout)
        _, stdout, _ = self.run_command("counters", "--json")
        self.assertEqual(len(json.loads(stdout)["counters"]), 2)
