"""Inventory and rules files, with the version that they were made from."""

import dataclasses
import pathlib
import re

from papayatack.ctl.exits import CommandError, ExitStatus

__all__ = ["Documents", "format_document", "read_documents"]

_BASE_LINE = re.compile(r"\A# made from version (\d{1,18})\r?\n")


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Documents:
    """An inventory and its rules.

    Attributes:
        inventory: Text of the inventory.
        rules: Text of the rules, empty if there are none.
        base_version: The version they were made from, if their first line says so.
    """

    inventory: str
    rules: str
    base_version: int | None


def format_document(text: str, version: int) -> str:
    """Return a document with a first line that names the version it is made from."""
    return f"# made from version {version}\n{text}"


def read_documents(inventory: str, rules: str | None) -> Documents:
    """Return the documents in two files.

    Raises:
        CommandError: A file cannot be read.
    """
    inventory_text, base_version = _read(inventory)
    rules_text = _read(rules)[0] if rules else ""
    return Documents(
        inventory=inventory_text, rules=rules_text, base_version=base_version
    )


def _read(path: str) -> tuple[str, int | None]:
    try:
        text = pathlib.Path(path).read_text(encoding="utf-8")
    except (OSError, ValueError) as error:
        raise CommandError(f"{path}: {error}", status=ExitStatus.USAGE) from error
    match = _BASE_LINE.match(text)
    if match is None:
        return text, None
    return text[match.end() :], int(match.group(1))
