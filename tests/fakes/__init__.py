"""Small in-process stand-ins for the log, the network and upstreams."""
