"""Client of the platform's log service."""
