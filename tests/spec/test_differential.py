"""The code's lease core against the specification, step by step.

Random steps are taken in both. Whenever the code serves, the specification must allow
it; and whenever the specification's claim is clear and the code has been told all
there is to know, the code must serve.
"""

import itertools
import unittest

import hypothesis
from hypothesis import strategies as st

from spec import protocol
from spec.models import LARGE_MODELS, MODELS
from spec.mutants import MUTANTS, build_mutant, find_counterexample
from tests.spec.lease_core import LeaseCore

STEPS = 30
EXAMPLES = 40
UNREPLAYED = {"death_before_supersession", "orphan_wait"}


class Driver:
    """A state of the specification and the code, kept in step."""

    def __init__(self, setting):
        self.setting = setting
        self.state = protocol.make_initial(setting)
        self.core = LeaseCore(setting)

    def list_choices(self):
        """Return the labels of the steps that may be taken."""
        labels = [
            label
            for label, _ in protocol.list_steps(self.setting, self.state)
            if not label.startswith(("claim", "yield")) and not self.is_void(label)
        ]
        living = [node for node, dead in enumerate(self.state.dead) if not dead]
        return labels + [f"tell {node}" for node in living]

    def is_void(self, label):
        """Tell whether the code's fold refuses what the specification allows.

        It refuses a chain with a lease that has ended in the log.
        """
        words = label.split()
        if words[0] != "move":
            return False
        chain = self.setting.chains[int(words[1]) - 1]
        return any(
            record.kind == "end" and record.lease in chain for record in self.state.log
        )

    def take(self, label):
        """Take a step in both."""
        name, *words = label.split()
        subject, *index = words[0].split("/") if words else ("",)
        if name == "tell":
            self.core.tell(int(subject))
        else:
            before = self.state
            steps = dict(protocol.list_steps(self.setting, self.state))
            self.state = steps[label]
            self.take_in_code(name, subject, index, before)
        self.follow_renewals()
        self.follow_claims()

    def take_in_code(self, name, subject, index, before):
        """Take a step of the specification in the code."""
        number = int(subject) if subject else 0
        if index:
            witness = self.find_witness(number, int(index[0]), before)
            self.take_at_witness(name, number, witness, before)
        elif name == "tick":
            self.core.tick()
        elif name == "move":
            self.core.append_move(number)
        elif name == "activate":
            self.core.append_activation(number, self.state.log[-1].epoch)
        elif name == "supersede":
            self.core.append_supersession(number)
        elif name in ("record", "orphan"):
            self.core.append_fence(number, self.state.log[-1].floor)
        elif name == "apply":
            self.core.apply(self.core.node(number))
        elif name == "die":
            self.core.dead.add(number)
        elif name == "resign":
            self.core.resign(number)
        else:
            raise AssertionError(name)

    def take_at_witness(self, name, lease, witness, before):
        """Take a step that concerns one witness."""
        if name == "renew":
            self.core.renew(lease, witness)
        elif name == "depart":
            self.core.depart(lease, witness)
        elif name == "fence":
            resigned = before.leases[lease].resigned
            self.core.fence(lease, witness, resigned=resigned)
        elif name == "learn":
            self.core.learn(witness, len(before.log))
        elif name == "lose":
            self.core.lost.add(witness)

    def find_similar_witness(self, lease, index, before):
        """Return a witness of the code, as like the specification's as there is."""
        witness = before.leases[lease].witnesses[index]
        wanted = describe(witness)

        def count_differences(item):
            return sum(a != b for a, b in zip(item[0], wanted, strict=True))

        return min(self.core.list_witnesses(lease), key=count_differences)[1]

    def find_witness(self, lease, index, before):
        """Return a witness of the code that is as the specification's."""
        witness = before.leases[lease].witnesses[index]
        wanted = describe(witness)
        for found, name in self.core.list_witnesses(lease):
            same_view = self.has_view(lease, name) == bool(witness.view)
            if found == wanted and (same_view or self.core.holder(lease).ended):
                return name
        raise AssertionError(f"no witness of {lease} is {witness}")

    def has_view(self, lease, name):
        """Tell whether the holder counts on a witness."""
        holder = self.core.holder(lease)
        promised_s = holder._promised_until_s.get(name, float("-inf"))
        return promised_s > self.core.now

    def follow_renewals(self):
        """Take the floors over that the code has told itself for departed witnesses."""
        leases = list(self.state.leases)
        for lease, entry in enumerate(leases):
            floor = self.core.holder(lease).sent_floor - self.core.base
            witnesses = tuple(
                witness._replace(floor=max(witness.floor, floor))
                if witness.departed
                else witness
                for witness in entry.witnesses
            )
            departed = [witness for witness in entry.witnesses if witness.departed]
            if witnesses != entry.witnesses:
                self.check_renewal(lease, departed[0], floor)
            leases[lease] = entry._replace(witnesses=tuple(sorted(witnesses)))
        self.state = self.state._replace(leases=tuple(leases))

    def check_renewal(self, lease, witness, floor):
        """Raise if the specification does not allow a renewal with a floor."""
        allowed = protocol.may_renew(self.setting, self.state, lease, witness)
        assert allowed, f"the code renews lease {lease}"
        applied = self.state.applied[self.setting.nodes[lease]]
        assert floor <= applied, f"the code tells floor {floor} of lease {lease}"

    def follow_claims(self):
        """Take the claims of the code over; the specification must allow them."""
        for node, dead in enumerate(self.state.dead):
            claim = self.core.find_claim(node)
            self.follow_stops(node, claim)
            if dead or claim is None:
                continue
            lease, epoch = claim
            entry = self.state.leases[lease]
            if entry.cleared == epoch:
                continue
            allowed = protocol.can_claim(self.setting, self.state, lease)
            assert allowed, f"the code claims epoch {epoch} under lease {lease}"
            leases = list(self.state.leases)
            leases[lease] = entry._replace(cleared=epoch)
            self.state = self.state._replace(leases=tuple(leases))

    def follow_stops(self, node, claim):
        """Stop where the code has stopped after a move, for lack of evidence."""
        for lease, entry in enumerate(self.state.leases):
            if self.setting.nodes[lease] != node or not entry.cleared:
                continue
            if claim is None or claim[0] != lease:
                leases = list(self.state.leases)
                leases[lease] = entry._replace(cleared=0)
                self.state = self.state._replace(leases=tuple(leases))

    def check(self, case):
        """Compare who serves, and what the witnesses keep."""
        tokens = []
        for lease, entry in enumerate(self.state.leases):
            token = self.core.find_token(lease)
            wanted = protocol.find_token(self.setting, self.state, lease)
            case.assertEqual(token, wanted, f"lease {lease}")
            kept = [found for found, _ in self.core.list_witnesses(lease)]
            specified = sorted(
                describe(witness) for witness in entry.witnesses if not witness.lost
            )
            case.assertEqual(kept, specified, f"witnesses of {lease}")
            tokens += [token] if token is not None else []
        case.assertLessEqual(len(tokens), 1)
        top = self.state.top
        case.assertTrue(all(token >= top for token in tokens), (tokens, top))
        self.state = self.state._replace(top=max([top, *tokens]))

    def check_progress(self, case):
        """With all evidence told, the code claims whatever it may.

        Not so after an end that stands in the log or that the holder itself knows of,
        when the code is content with the first proof that it gets, nor after the loss
        of a witness, whose word the specification still counts.
        """
        for node, dead in enumerate(self.state.dead):
            if not dead:
                self.core.tell(node)
        self.follow_claims()
        dead_nodes = self.state.dead
        plain = all(record.kind != "end" for record in self.state.log)
        leases = range(len(self.setting.nodes))
        ended = any(self.core.holder(lease).ended for lease in leases)
        if ended or self.core.lost or not plain:
            return
        for lease, node in enumerate(self.setting.nodes):
            if dead_nodes[node]:
                continue
            if protocol.can_claim(self.setting, self.state, lease):
                claim = self.core.find_claim(node)
                case.assertIsNotNone(claim, f"lease {lease} does not claim")


def describe(witness):
    """Return what a witness of the specification keeps."""
    return witness.promise, witness.floor, witness.fenced, witness.departed


class ReplayTests(unittest.TestCase):
    """The code on the orders of events that break a specification without a guard."""

    def replay(self, guard, model):
        """Replay a counterexample; the code must keep what the mutant breaks."""
        trace = find_counterexample(build_mutant(guard, model))
        driver = Driver(MODELS[model])
        top = 0
        for step, after in itertools.pairwise(trace):
            before = protocol.State(**step["state"])
            driver.state = protocol.State(**after["state"])
            self.take_if_possible(driver, after["label"], before)
            leases = range(len(driver.setting.nodes))
            tokens = [driver.core.find_token(lease) for lease in leases]
            tokens = [token for token in tokens if token is not None]
            self.assertLessEqual(len(tokens), 1, after["label"])
            self.assertTrue(all(token >= top for token in tokens), after["label"])
            top = max([top, *tokens])

    def take_if_possible(self, driver, label, before):
        """Take a step of a mutant in the code, which may refuse it."""
        name, subject = label.split() if " " in label else (label, "")
        subject, *index = subject.split("/")
        if name == "claim":
            driver.core.tell(driver.setting.nodes[int(subject)])
        elif index:
            lease = int(subject)
            witness = driver.find_similar_witness(lease, int(index[0]), before)
            driver.take_at_witness(name, lease, witness, before)
        else:
            driver.take_in_code(name, subject, index, before)


def _make_replay(guard, model):
    def test(self):
        self.replay(guard, model)

    test.__doc__ = f"The code does not lack {guard}."
    return test


for _guard, _model in MUTANTS.items():
    # A live process is not superseded by the driver's word, nor does the driver write
    # the record of an orphaned lease; messages in flight have no form in the driver.
    if _model in MODELS and _guard not in UNREPLAYED:
        setattr(ReplayTests, f"test_{_guard}", _make_replay(_guard, _model))


class DifferentialTests(unittest.TestCase):
    """The lease core and the specification on the same steps."""

    def check_model(self, name):
        """Compare both on random steps of a model."""
        setting = (MODELS | LARGE_MODELS)[name]

        @hypothesis.settings(max_examples=EXAMPLES)
        @hypothesis.given(st.data())
        def compare(data):
            driver = Driver(setting)
            for _ in range(data.draw(st.integers(1, STEPS))):
                label = data.draw(st.sampled_from(driver.list_choices()))
                driver.take(label)
                driver.check(self)
            driver.check_progress(self)

        compare()


def _make_test(name):
    def test(self):
        self.check_model(name)

    test.__doc__ = f"Model {name}: the code serves when the specification lets it."
    return test


for _name in MODELS:
    _method = f"test_{_name.replace('-', '_')}"
    setattr(DifferentialTests, _method, _make_test(_name))
