"""Addresses in the platform's format: an IP address and a port."""

import ipaddress
from typing import Annotated

import pydantic

__all__ = ["Address", "parse_address"]

MAX_PORT = 65_535
MAX_PORT_DIGITS = 5


def parse_address(text: str) -> str:
    """Return an address of the form ``<ip>:<port>`` unchanged.

    Raises:
        ValueError: The text has another form, or no process can listen there.
    """
    host, _, port = text.rpartition(":")
    ipaddress.ip_address(host.removeprefix("[").removesuffix("]"))
    is_number = port.isascii() and port.isdigit() and len(port) <= MAX_PORT_DIGITS
    if not is_number or not 0 < int(port) <= MAX_PORT:
        raise ValueError(f"{port[:20]!r} is not a port")
    return text


Address = Annotated[str, pydantic.AfterValidator(parse_address)]
