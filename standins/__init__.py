"""Small models of the platform's log and of upstreams, for tests and measurements."""
