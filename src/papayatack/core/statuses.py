"""Status codes of responses."""

__all__ = ["is_final_status"]

FINAL_STATUSES = range(200, 600)


def is_final_status(status: int) -> bool:
    """Return whether a response with a status code may end an exchange."""
    return status in FINAL_STATUSES
