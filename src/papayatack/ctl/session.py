"""Calls to the nodes that the operator named, trying one after the other."""

import asyncio
import dataclasses
import json
from typing import Any, TypeVar

import pydantic
from returns.result import Failure, Success

from papayatack.ctl.exits import CommandError, ExitStatus
from papayatack.ctl.http import CallFailureKind, Reply, call_node

__all__ = ["Session", "decode_reply", "read_detail"]

RETRY_DELAY_S = 0.5
CALL_TIMEOUT_S = 12.0

Model = TypeVar("Model", bound=pydantic.BaseModel)


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Session:
    """Where and for how long a command calls.

    Attributes:
        nodes: Operators' addresses, ``<ip>:<port>``, in the order to be tried.
        timeout_s: Seconds after which the command gives up.
    """

    nodes: tuple[str, ...]
    timeout_s: float

    async def get(self, target: str) -> Reply:
        """Return the first node's answer to a read.

        Raises:
            CommandError: No node answered, or the answer is an error.
        """
        failures = []
        for address in self._require_nodes():
            result = await call_node(address, "GET", target, timeout_s=self._call_s)
            match result:
                case Success(reply):
                    return _require_success(address, reply)
                case Failure(failure):
                    failures.append(failure.detail)
        raise CommandError(
            "no node answered; check the addresses given with --node",
            status=ExitStatus.AWAY,
            details=tuple(failures),
        )

    async def post(self, target: str, document: Any) -> Reply:
        """Send a change that may be sent again, until a node knows its outcome.

        Raises:
            CommandError: No node could be reached, or the outcome stays unknown.
        """
        loop = asyncio.get_running_loop()
        end = loop.time() + self.timeout_s
        unknown = ""
        while True:
            refused = []
            for address in self._require_nodes():
                result = await call_node(
                    address, "POST", target, document=document, timeout_s=self._call_s
                )
                match result:
                    case Success(reply) if not _is_unknown(reply):
                        return reply
                    case Success(reply):
                        unknown = f"{address}: {reply.body[:200].decode('latin-1')}"
                    case Failure(failure):
                        if failure.kind is CallFailureKind.UNANSWERED:
                            unknown = failure.detail
                        else:
                            refused.append(failure.detail)
            if not unknown and loop.time() + RETRY_DELAY_S >= end:
                raise CommandError(
                    "no node could be reached; nothing was changed",
                    status=ExitStatus.AWAY,
                    details=tuple(refused),
                )
            if loop.time() + RETRY_DELAY_S >= end:
                raise CommandError(
                    "the outcome is not known: the change may or may not take effect",
                    status=ExitStatus.UNKNOWN,
                    details=(unknown,),
                )
            await asyncio.sleep(RETRY_DELAY_S)

    @property
    def _call_s(self) -> float:
        return min(CALL_TIMEOUT_S, self.timeout_s)

    def _require_nodes(self) -> tuple[str, ...]:
        if not self.nodes:
            raise CommandError(
                "no node named; give --node=IP:PORT, the operators' address of any",
                status=ExitStatus.USAGE,
            )
        return self.nodes


def decode_reply(model: type[Model], reply: Reply) -> Model:
    """Return the validated answer.

    Raises:
        CommandError: The answer is not of the expected form.
    """
    try:
        return model.model_validate_json(reply.body)
    except pydantic.ValidationError as error:
        raise CommandError(
            f"the node's answer is not understood (status {reply.status}); is this the"
            " operators' address of a papayatack node?",
            status=ExitStatus.AWAY,
            details=tuple(str(fault["msg"]) for fault in error.errors()[:3]),
        ) from error


def read_detail(reply: Reply) -> str:
    """Return the reason that an error answer gives, or its beginning."""
    text = reply.body[:500].decode("utf-8", "replace")
    try:
        return str(json.loads(reply.body)["detail"])
    except (ValueError, KeyError, TypeError):
        return text


def _is_unknown(reply: Reply) -> bool:
    if reply.status != 503:
        return False
    try:
        return json.loads(reply.body).get("result") == "unknown"
    except (ValueError, AttributeError):
        return True


def _require_success(address: str, reply: Reply) -> Reply:
    if reply.status == 200:
        return reply
    status = ExitStatus.AWAY if reply.status >= 500 else ExitStatus.REFUSED
    raise CommandError(
        f"{address} answered with status {reply.status}",
        status=status,
        details=(read_detail(reply),),
    )
