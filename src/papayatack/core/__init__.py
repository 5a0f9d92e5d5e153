"""Logic that performs no I/O: time and events are passed in as arguments."""
