"""Tasks that drive the ownership core: timers, log tail, peer messages."""
