"""The fold of the config stream: which publications take effect.

Every node folds the same records in the same order and must come to the same
result. A publication takes effect only if it was made from the version in force, its
documents are valid and the change is permitted.
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
MAX_FAULTS = 20
DUMP_FORMAT = 1


class PublicationResult(enum.StrEnum):
    """What became of a publication."""

    EFFECTIVE = "effective"
    CONFLICT = "conflict"
    INVALID = "invalid"


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Publication:
    """The verdict on one publication.

    Attributes:
        record_id: The publication's record.
        result: Whether it took effect.
        version: The version in force after it.
        faults: Why it is invalid.
    """

    record_id: str
    result: PublicationResult
    version: int
    faults: tuple[str, ...] = ()


class ConfigFold:
    """The configuration in force after a prefix of the config stream."""

    is_gapless = True

    def __init__(self) -> None:
        self.configuration = Configuration()
        self.inventory = ""
        self.rules = ""
        self.next_offset = 0
        self._publications: OrderedDict[str, Publication] = OrderedDict()

    @property
    def version(self) -> int:
        """The version in force; it never goes down."""
        return self.configuration.version

    def apply(self, offset: int, record: ConfigRecord) -> Publication | None:
        """Fold the record at ``offset``; offsets already folded are ignored.

        Returns:
            The verdict if the record is a publication seen for the first time.
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
        """Return the verdict on a recent publication, or ``None`` if not seen."""
        return self._publications.get(record_id)

    def check(self, inventory: str, rules: str) -> Configuration:
        """Return what a publication made now would put in force.

        Raises:
            InventoryError: It would be invalid; each fault is named.
        """
        configuration = parse_configuration(inventory, rules, version=self.version + 1)
        faults = check_change(self.configuration, configuration)
        if faults:
            raise InventoryError(*faults)
        return configuration

    def dump(self) -> str:
        """Return the state as a document; equal states give equal documents."""
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
        """Return the state that :meth:`dump` wrote.

        Raises:
            InventoryError: The document is of another format or damaged.
        """
        fold = cls()
        try:
            document = json.loads(text)
            if document["format"] != DUMP_FORMAT:
                raise InventoryError(f"state of unknown format {document['format']!r}")
            fold._restore(document)
        except (KeyError, TypeError, ValueError) as error:
            raise InventoryError(f"damaged state: {error!r}") from error
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
