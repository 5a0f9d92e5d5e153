"""Publishing inventory and rules on an operator's behalf.

An operator is told "accepted" only after the record was folded at its offset on this
node and found effective.
"""

import asyncio
import contextlib

from returns.result import Failure, Success

from papayatack.core.changes import describe_difference
from papayatack.core.config_fold import ConfigFold, Publication, PublicationResult
from papayatack.core.configuration import parse_configuration
from papayatack.core.errors import InventoryError
from papayatack.core.records import Publish
from papayatack.daemon.publication_answer import PublicationAnswer, PublicationStatus
from papayatack.logservice.appender import Appender
from papayatack.logservice.interface import LogFailureKind

__all__ = ["Publisher"]

PUBLISH_TIMEOUT_S = 10.0
POLL_INTERVAL_S = 0.05


class Publisher:
    """Appends publications and reads back what became of them.

    Args:
        config: The config stream as folded on this node; to be read only.
        appender: Appends to the config stream.
        writer: Name of this node in the records.
    """

    def __init__(self, *, config: ConfigFold, appender: Appender, writer: str) -> None:
        self._config = config
        self._appender = appender
        self._writer = writer

    async def publish(
        self, *, record_id: str, base_version: int, inventory: str, rules: str
    ) -> PublicationAnswer:
        """Publish documents that were made from ``base_version``.

        Publishing the same ``record_id`` again, after an unknown outcome, is safe.
        """
        seen = self._config.find_publication(record_id)
        if seen is not None:
            return self._answer(seen, inventory, rules)
        refused = self._check(base_version, inventory, rules)
        if refused is not None:
            return refused
        record = Publish(
            record_id=record_id,
            writer=self._writer,
            base_version=base_version,
            inventory=inventory,
            rules=rules,
        )
        deadline_s = asyncio.get_running_loop().time() + PUBLISH_TIMEOUT_S
        return await self._append(record, deadline_s)

    def _check(
        self, base_version: int, inventory: str, rules: str
    ) -> PublicationAnswer | None:
        """Return the refusal of a publication that need not be appended."""
        if base_version < self._config.version:
            return self._conflict(inventory, rules)
        if base_version > self._config.version:
            return self._tell(
                PublicationStatus.REFUSED,
                detail="this node is behind that version; try again in a few seconds",
            )
        try:
            self._config.check(inventory, rules)
        except InventoryError as error:
            return self._tell(PublicationStatus.INVALID, faults=tuple(error.faults))
        return None

    async def _append(self, record: Publish, deadline_s: float) -> PublicationAnswer:
        result = await self._appender.append(record, deadline_s=deadline_s)
        match result:
            case Failure(failure) if failure.kind is LogFailureKind.UNKNOWN:
                return self._tell_unknown()
            case Failure(_):
                detail = "the log service is away and nothing was written; try again"
                return self._tell(PublicationStatus.REFUSED, detail=detail)
            case Success(offset):
                return await self._read_back(record, offset, deadline_s)
        raise AssertionError(result)

    async def _read_back(
        self, record: Publish, offset: int, deadline_s: float
    ) -> PublicationAnswer:
        """Wait until this node has folded the record."""
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout_at(deadline_s):
                await self._wait_folded(offset)
        publication = self._config.find_publication(record.record_id)
        if publication is None:
            return self._tell_unknown()
        return self._answer(publication, record.inventory, record.rules)

    async def _wait_folded(self, offset: int) -> None:
        while True:
            if self._config.next_offset > offset:
                return
            await asyncio.sleep(POLL_INTERVAL_S)

    def _answer(
        self, publication: Publication, inventory: str, rules: str
    ) -> PublicationAnswer:
        match publication.result:
            case PublicationResult.EFFECTIVE:
                return PublicationAnswer(
                    status=PublicationStatus.ACCEPTED, version=publication.version
                )
            case PublicationResult.CONFLICT:
                return self._conflict(inventory, rules)
        return self._tell(PublicationStatus.INVALID, faults=publication.faults)

    def _conflict(self, inventory: str, rules: str) -> PublicationAnswer:
        try:
            wanted = parse_configuration(inventory, rules, version=0)
        except InventoryError as error:
            return self._tell(PublicationStatus.INVALID, faults=tuple(error.faults))
        difference = describe_difference(wanted, self._config.configuration)
        return self._tell(PublicationStatus.CONFLICT, difference=tuple(difference))

    def _tell_unknown(self) -> PublicationAnswer:
        detail = "the record may be in the log; publish it again under the same id"
        return self._tell(PublicationStatus.UNKNOWN, detail=detail)

    def _tell(
        self,
        status: PublicationStatus,
        *,
        difference: tuple[str, ...] = (),
        faults: tuple[str, ...] = (),
        detail: str = "",
    ) -> PublicationAnswer:
        return PublicationAnswer(
            status=status,
            version=self._config.version,
            difference=difference,
            faults=faults,
            detail=detail,
        )
