"""How long keys are away when a VM is lost, frozen or stopped: real processes.

``python -m bench.failover --runs=5 --faults=kill,freeze,stop --log=up,down``

Each run sends unrepeatable requests without pause for keys of one VM through another
VM's node, injects the fault, and prints the longest time without an answer of any key.
Afterwards the upstreams are asked how often each request ran: a request that ran
twice, or that was called not run and ran, is an error.
"""

import asyncio
import collections
import dataclasses
import json
import re
import sys

from absl import app, flags

from bench.stats import format_quantiles
from examples.mesh import publish_inventory
from standins.fleet import Fleet, Member, Site, call

__all__ = ["main"]

PLACES = ("baq-norte", "baq-centro", "baq-puerto")
REGION = "barranquilla"
NODES = 9
SHARDS = 256
WITNESSES = 3
KEYS_PER_VICTIM = 8
MAX_KEY = 400
WARM_UP_S = 1.0
AFTER_FAULT_S = 4.0
PAUSE_S = 0.025
ANSWER_TIMEOUT_S = 20.0
SETTLE_TIMEOUT_S = 60.0
SETTLE_POLL_S = 0.2
STEADY_POLLS = 3
RESTART_PAUSE_S = 1.0
TARGET_S = 2.0
_ID = re.compile(rb"papayatack-request-id: (\w+)", re.IGNORECASE)
_OUTCOME = re.compile(rb"papayatack-outcome: ([\w-]+)", re.IGNORECASE)

FLAGS = flags.FLAGS


@dataclasses.dataclass(slots=True, kw_only=True)
class Probe:
    """One request and what became of it.

    Attributes:
        ended_s: When its answer was there.
        status: Status, 0 for none.
        outcome: The outcome named by the router.
        request_id: The router's id of the request.
    """

    ended_s: float
    status: int
    outcome: str
    request_id: str


@dataclasses.dataclass(slots=True, kw_only=True)
class Verdict:
    """What one run showed.

    Attributes:
        gap_s: Longest time without an answer of any key.
        requests: Requests sent.
        refused: Requests that were not run.
        unknown: Requests whose outcome is unknown.
        errors: Broken promises.
    """

    gap_s: float
    requests: int
    refused: int
    unknown: int
    errors: list[str]


async def _run_fault(fleet: Fleet, victim: Member, fault: str, log: str) -> Verdict:
    observer = next(member for member in fleet.members if member is not victim)
    keys = await _find_keys(observer, victim)
    if log == "down":
        await _control_log(fleet, "refuse")
    probes: dict[str, list[Probe]] = {key: [] for key in keys}
    tasks = [asyncio.ensure_future(_probe(observer, k, probes[k])) for k in keys]
    await asyncio.sleep(WARM_UP_S)
    fault_s = asyncio.get_running_loop().time()
    {"kill": victim.kill, "freeze": victim.freeze, "stop": victim.drain}[fault]()
    await asyncio.sleep(AFTER_FAULT_S)
    for task in tasks:
        task.cancel()
    await asyncio.gather(*tasks, return_exceptions=True)
    ended_s = asyncio.get_running_loop().time()
    if fault == "freeze":
        victim.thaw()
    await _control_log(fleet, "none")
    runs = await _count_runs(fleet)
    verdict = _judge(probes, runs, fault_s, ended_s)
    await _restore(fleet, victim, fault)
    return verdict


async def _probe(observer: Member, key: str, probes: list[Probe]) -> None:
    """Send requests for one key at a fixed rate, whatever became of earlier ones."""
    async with asyncio.TaskGroup() as tasks:
        while True:
            tasks.create_task(_ask(observer, key, probes))
            await asyncio.sleep(PAUSE_S)


async def _ask(observer: Member, key: str, probes: list[Probe]) -> None:
    target = f"/hiring/vacancies/{key}/acceptances"
    status, answer = await call(
        observer.callers, target, method="POST", timeout_s=ANSWER_TIMEOUT_S
    )
    probe = Probe(
        ended_s=asyncio.get_running_loop().time(),
        status=status,
        outcome=_find(_OUTCOME, answer),
        request_id=_find(_ID, answer),
    )
    probes.append(probe)


def _find(pattern: re.Pattern[bytes], answer: bytes) -> str:
    found = pattern.search(answer)
    return found.group(1).decode() if found else ""


def _judge(
    probes: dict[str, list[Probe]],
    runs: collections.Counter[str],
    fault_s: float,
    ended_s: float,
) -> Verdict:
    every = [probe for sent in probes.values() for probe in sent]
    gaps = [_find_gap(sent, fault_s, ended_s) for sent in probes.values()]
    errors = [f"{name} ran {count} times" for name, count in runs.items() if count > 1]
    for probe in every:
        if probe.outcome == "not-run" and runs[probe.request_id]:
            errors.append(f"{probe.request_id} was called not run, and ran")
        if probe.status == 0:
            errors.append("a request had no answer at all")
    return Verdict(
        gap_s=max(gaps),
        requests=len(every),
        refused=sum(probe.outcome == "not-run" for probe in every),
        unknown=sum(probe.outcome == "unknown" for probe in every),
        errors=errors,
    )


def _find_gap(sent: list[Probe], fault_s: float, ended_s: float) -> float:
    """Return the longest time after the fault between two answers of a key."""
    answered = (p.ended_s for p in sent if p.status == 200 and p.ended_s > fault_s)
    times = sorted(answered)
    marks = [fault_s, *times, ended_s]
    return max(
        later - earlier for earlier, later in zip(marks, marks[1:], strict=False)
    )


async def _choose_victim(fleet: Fleet) -> Member:
    """Return the node with the most shards; the first one only observes."""
    documents = [await _read_json(m.operators, "/status") for m in fleet.members]
    owned = [document.get("shards_owned", 0) for document in documents]
    return fleet.members[owned.index(max(owned[1:]), 1)]


async def _find_keys(observer: Member, victim: Member) -> list[str]:
    """Return keys that the victim owns, as the observer sees it."""
    keys = []
    for number in range(MAX_KEY):
        key = f"v-{number:05d}"
        document = await _read_json(
            observer.operators, f"/explain?service=hiring&key={key}"
        )
        if document.get("address") == f"127.0.0.1:{victim.peers}":
            keys.append(key)
        if len(keys) == KEYS_PER_VICTIM:
            return keys
    return keys


async def _read_json(port: int, target: str) -> dict:
    status, answer = await call(port, target)
    if status != 200:
        return {}
    return json.loads(answer.split(b"\r\n\r\n", 1)[1])


async def _control_log(fleet: Fleet, outage: str) -> None:
    body = json.dumps({"outage": outage}).encode()
    await call(fleet.log_port, "/control", method="POST", body=body)


async def _count_runs(fleet: Fleet) -> collections.Counter[str]:
    """Return how often each request ran on the upstreams that answer."""
    counts: collections.Counter[str] = collections.Counter()
    for member in fleet.members:
        counts.update(await _read_json(member.upstream, "/runs"))
    return counts


async def _restore(fleet: Fleet, victim: Member, fault: str) -> None:
    """Start the victim again and wait until all is as before."""
    if fault != "freeze":
        victim.kill()
        for process in (victim.node, victim.server):
            if process is not None:
                await process.wait()
        await asyncio.sleep(RESTART_PAUSE_S)
        await fleet.start_member(victim)
    await _settle(fleet)


async def _settle(fleet: Fleet) -> None:
    """Wait until every node serves and every shard has one serving node."""
    loop = asyncio.get_running_loop()
    deadline_s = loop.time() + SETTLE_TIMEOUT_S
    steady = 0
    while steady < STEADY_POLLS:
        documents = [await _read_json(m.operators, "/status") for m in fleet.members]
        owned = [document.get("shards_owned", 0) for document in documents]
        states = [document.get("state", "away") for document in documents]
        witnessed = all(_count_witnesses(d) == WITNESSES for d in documents)
        settled = set(states) == {"serving"} and sum(owned) >= SHARDS and witnessed
        steady = steady + 1 if settled else 0
        if loop.time() > deadline_s:
            raise TimeoutError(f"the fleet did not settle: {states} own {owned}")
        await asyncio.sleep(SETTLE_POLL_S)


def _count_witnesses(status: dict) -> int:
    """Return the number of witnesses; without any nobody can take over."""
    return len((status.get("lease") or {}).get("witnesses", []))


async def _measure(fault: str, log: str, runs: int) -> bool:
    """Print the distribution over ``runs`` runs; return whether all was well."""
    sites = tuple(
        Site(service="hiring", place=PLACES[n % len(PLACES)], region=REGION)
        for n in range(NODES)
    )
    verdicts = []
    async with Fleet(sites=sites, check_grants=frozenset({"hiring"})) as fleet:
        await publish_inventory(fleet)
        await _settle(fleet)
        for _ in range(runs):
            victim = await _choose_victim(fleet)
            verdicts.append(await _run_fault(fleet, victim, fault, log))
    return _print_verdicts(fault, log, verdicts)


def _print_verdicts(fault: str, log: str, verdicts: list[Verdict]) -> bool:
    errors = [error for verdict in verdicts for error in verdict.errors]
    gaps_ms = [verdict.gap_s * 1000 for verdict in verdicts]
    print(
        f"{fault:6} log {log:4} runs {len(verdicts):3}"
        f" away ms: {format_quantiles(gaps_ms)}"
        f" requests {sum(v.requests for v in verdicts)}"
        f" not run {sum(v.refused for v in verdicts)}"
        f" unknown {sum(v.unknown for v in verdicts)}"
        f" broken promises {len(errors)}",
        flush=True,
    )
    for error in errors[:10]:
        print(f"  {error}")
    return not errors and max(gaps_ms) < TARGET_S * 1000


async def _measure_all() -> int:
    well = True
    for fault in FLAGS.faults:
        for log in FLAGS.log:
            well = await _measure(fault, log, FLAGS.runs) and well
    return 0 if well else 1


def main(arguments: list[str]) -> None:
    """Measure every combination that the flags ask for."""
    del arguments
    sys.exit(asyncio.run(_measure_all()))


if __name__ == "__main__":
    flags.DEFINE_integer("runs", 5, "Runs of each combination.")
    flags.DEFINE_list("faults", ["kill", "freeze", "stop"], "Faults to inject.")
    flags.DEFINE_list("log", ["up", "down"], "State of the log during the fault.")
    app.run(main)
