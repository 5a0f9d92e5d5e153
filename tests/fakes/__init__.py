"""In-process fakes of the log, the network and upstreams."""
