"""Commands for requests that crash upstreams."""

from papayatack.ctl import tables
from papayatack.ctl.exits import ExitStatus
from papayatack.ctl.invocation import Invocation, Output
from papayatack.ctl.session import decode_reply
from papayatack.wire.answers import LiftAnswer, QuarantineAnswer

__all__ = ["lift", "show_quarantine"]


async def show_quarantine(invocation: Invocation) -> Output:
    """List the requests that were in flight at crashes and have not ended since."""
    reply = await invocation.session.get("/quarantine")
    answer = decode_reply(QuarantineAnswer, reply)
    return Output(document=answer.model_dump(), text=tables.format_quarantine(answer))


async def lift(invocation: Invocation) -> Output:
    """Let requests run again, on all nodes."""
    fingerprints = list(invocation.arguments)
    reply = await invocation.session.post("/lift", {"fingerprints": fingerprints})
    answer = decode_reply(LiftAnswer, reply)
    lines = [f"lifted: {name}" for name in answer.lifted]
    lines += [f"not known, or already lifted: {name}" for name in answer.unknown]
    status = ExitStatus.REFUSED if answer.unknown else ExitStatus.DONE
    return Output(document=answer.model_dump(), text="\n".join(lines), status=status)
