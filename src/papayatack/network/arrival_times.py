"""When the bytes arrived that a connection has not parsed yet."""

__all__ = ["ArrivalTimes"]

MAX_ARRIVALS = 32
"""Arrivals that are told apart; the bytes of further ones count as of the last."""


class ArrivalTimes:
    """Sizes and times of the latest arrivals of one connection, oldest first."""

    __slots__ = ("_arrivals",)

    def __init__(self) -> None:
        self._arrivals: list[tuple[int, float]] = []

    def add(self, size: int, now: float) -> None:
        """Note bytes that have just arrived."""
        if len(self._arrivals) == MAX_ARRIVALS:
            size += self._arrivals.pop()[0]
        self._arrivals.append((size, now))

    def keep(self, rest_bytes: int) -> float:
        """Note that all but so many bytes have been parsed.

        Returns:
            When the last of the parsed bytes arrived.
        """
        sizes = [size for size, _ in self._arrivals]
        parsed_bytes = sum(sizes) - rest_bytes
        index = 0
        while index < len(sizes) - 1 and parsed_bytes > sizes[index]:
            parsed_bytes -= sizes[index]
            index += 1
        size, arrived_s = self._arrivals[index]
        self._arrivals[: index + 1] = [(size - parsed_bytes, arrived_s)]
        return arrived_s
