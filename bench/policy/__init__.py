"""A plain queueing model of upstreams, and gates to compare before them."""
