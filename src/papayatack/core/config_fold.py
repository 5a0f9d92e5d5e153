"""The fold of the config stream, which decides which publications take effect.

Every node applies the same records in the same order and must reach the same state. A
publication takes effect only if it is based on the current version, its documents are
valid and the change is permitted.
"""

import dataclasses
import enum
import functools
import json
from collections import OrderedDict

from papayatack.core.changes import check_change
from papayatack.core.configuration import parse_configuration
from papayatack.core.errors import InventoryError
from papayatack.core.inventory import Configuration
from papayatack.core.records import ConfigRecord, Publish

__all__ = ["ConfigFold", "Publication", "PublicationResult"]

MAX_PUBLICATIONS = 1_024
"""Number of publications whose results are kept; the oldest are dropped."""

MAX_FAULTS = 20
"""Number of errors kept for an invalid publication."""

DUMP_FORMAT = 1


class PublicationResult(enum.StrEnum):
    """Whether a publication took effect, or why it did not."""

    EFFECTIVE = "effective"
    CONFLICT = "conflict"
    INVALID = "invalid"


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Publication:
    """The result of one publication.

    Attributes:
        record_id: Id of the publication's record.
        result: Whether the publication took effect.
        version: The configuration version after the publication.
        faults: The errors found if the publication is invalid.
    """

    record_id: str
    result: PublicationResult
    version: int
    faults: tuple[str, ...] = ()


class ConfigFold:
    """The configuration that results from a prefix of the config stream.

    Attributes:
        configuration: The current configuration.
        inventory: The inventory document of the current configuration.
        rules: The rules document of the current configuration.
        next_offset: Offset of the next record to apply.
    """

    is_gapless = True

    def __init__(self) -> None:
        self.configuration = Configuration()
        self.inventory = ""
        self.rules = ""
        self.next_offset = 0
        self._publications: OrderedDict[str, Publication] = OrderedDict()

    @property
    def version(self) -> int:
        """The current version, which never decreases."""
        return self.configuration.version

    def apply(self, offset: int, record: ConfigRecord) -> Publication | None:
        """Apply the record at ``offset``; ignore it if it was applied before.

        Returns:
            The result if the record is a publication seen for the first time.
        """
        if offset < self.next_offset:
            return None
        self.next_offset = offset + 1
        return self._fold(record)

    @functools.singledispatchmethod
    def _fold(self, record: ConfigRecord) -> Publication | None:
        return None

    @_fold.register
    def _fold_publish(self, record: Publish) -> Publication | None:
        if record.record_id in self._publications:
            return None
        publication = self._evaluate(record)
        self._publications[record.record_id] = publication
        if len(self._publications) > MAX_PUBLICATIONS:
            self._publications.popitem(last=False)
        return publication

    def find_publication(self, record_id: str) -> Publication | None:
        """Return the result of a recent publication, or ``None`` if it is not known."""
        return self._publications.get(record_id)

    def check(self, inventory: str, rules: str) -> Configuration:
        """Return the configuration that would result from publishing the documents now.

        Raises:
            InventoryError: The publication would be invalid; lists all errors found.
        """
        configuration = parse_configuration(inventory, rules, version=self.version + 1)
        faults = check_change(self.configuration, configuration)
        if faults:
            raise InventoryError(*faults)
        return configuration

    def dump(self) -> str:
        """Return the state as a JSON document; equal states give equal documents."""
        document = {
            "format": DUMP_FORMAT,
            "version": self.version,
            "inventory": self.inventory,
            "rules": self.rules,
            "next_offset": self.next_offset,
            "publications": [
                [entry.record_id, entry.result, entry.version, list(entry.faults)]
                for entry in self._publications.values()
            ],
        }
        return json.dumps(document, ensure_ascii=False, separators=(",", ":"))

    @classmethod
    def load(cls, text: str) -> "ConfigFold":
        """Return the state restored from a document that :meth:`dump` returned.

        Raises:
            InventoryError: The document has another format or is damaged.
        """
        fold = cls()
        try:
            document = json.loads(text)
            if document["format"] != DUMP_FORMAT:
                raise InventoryError(
                    f"config state has unknown format {document['format']!r}"
                )
            fold._restore(document)
        except (KeyError, TypeError, ValueError) as error:
            raise InventoryError(f"config state is damaged: {error!r}") from error
        return fold

    def _restore(self, document: dict) -> None:
        self.inventory = document["inventory"]
        self.rules = document["rules"]
        self.next_offset = document["next_offset"]
        if document["version"]:
            self.configuration = parse_configuration(
                self.inventory, self.rules, version=document["version"]
            )
        for record_id, result, version, faults in document["publications"]:
            self._publications[record_id] = Publication(
                record_id=record_id,
                result=PublicationResult(result),
                version=version,
                faults=tuple(faults),
            )

    def _evaluate(self, record: Publish) -> Publication:
        if record.base_version != self.version:
            return self._make_publication(record, PublicationResult.CONFLICT)
        try:
            configuration = self.check(record.inventory, record.rules)
        except InventoryError as error:
            faults = error.faults[:MAX_FAULTS]
            return self._make_publication(record, PublicationResult.INVALID, faults)
        self.configuration = configuration
        self.inventory = record.inventory
        self.rules = record.rules
        return self._make_publication(record, PublicationResult.EFFECTIVE)

    def _make_publication(
        self, record: Publish, result: PublicationResult, faults: tuple[str, ...] = ()
    ) -> Publication:
        return Publication(
            record_id=record.record_id,
            result=result,
            version=self.version,
            faults=faults,
        )
