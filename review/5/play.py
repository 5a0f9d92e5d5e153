"""An instance that has deregistered gets new requests after its node was restarted."""

import asyncio
import pathlib
import sys

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parent.parent))

from harness import DRAIN_S, STABLE_S, has_trouble, now, run_case

LAYOUT = [
    ("desk", "bq-norte"),
    ("desk", "bq-centro"),
    ("papers", "bq-norte"),
    ("papers", "bq-centro"),
]
LATE_S = 3.0
"""Time for which the last heartbeat is on its way."""

STAYS_S = 16.0
"""Time for which the instance serves after the ack of its leaving."""

STEP_S = 0.05
WORK_S = 0.3


async def send_requests(fleet, stopping):
    """Send bookings to the machines whose nodes are not disturbed."""
    senders = [fleet.machines[0], fleet.machines[1], fleet.machines[3]]
    tasks, number = [], 0
    while not stopping.is_set():
        machine = senders[number % len(senders)]
        number += 1
        call = fleet.ask(machine, f"/book/{number}", method="POST", body=b"x" * 300)
        tasks.append(asyncio.ensure_future(call))
        await asyncio.sleep(STEP_S)
    return await asyncio.gather(*tasks)


async def play(fleet):
    """Let an instance deregister, restart its node, and deliver its last heartbeat."""
    machine = fleet.machines[2]
    leaver = machine.instance
    fleet.work_s = WORK_S
    stopping = asyncio.Event()
    sending = asyncio.ensure_future(send_requests(fleet, stopping))
    await asyncio.sleep(3)
    leaver.stop_beating()
    late_beat = leaver.build_beat("ready")
    beat_s = now()
    leaver.leaving = True
    status = await leaver.post(machine.control, "deregister")
    acked_s = now()
    fleet.record.note(f"{leaver.name} deregisters: {status}")
    if status != 200:
        raise RuntimeError("the leaving was not acknowledged")
    if has_trouble():
        await asyncio.sleep(0.2)
        await machine.kill_node()
        await asyncio.sleep(0.5)
        await machine.start_node()
    await machine.wait_listening()
    await asyncio.sleep(beat_s + LATE_S - now())
    status = await leaver.post(machine.control, "heartbeat", late_beat)
    fleet.record.note(f"a late heartbeat of {leaver.name} arrives: {status}")
    await asyncio.sleep(acked_s + STAYS_S - now())
    await leaver.end()
    await asyncio.sleep(1)
    stopping.set()
    answers = await sending
    in_touch_s = max(acked_s + DRAIN_S, machine.started_s + STABLE_S)
    if not has_trouble():
        in_touch_s = acked_s + DRAIN_S
    late = [item for item in leaver.arrivals if item[0] > in_touch_s]
    late_runs = [item for item in late if item[2] == "run"]
    lost = sum(1 for status in answers if status in (0, 502))
    text = (
        f"{len(late_runs)} requests reached the instance later than Drain after the "
        f"ack, by machines in touch; {lost} of {len(answers)} bookings were lost"
    )
    return bool(late_runs), text


run_case(pathlib.Path(__file__).resolve().parent, LAYOUT, play)
