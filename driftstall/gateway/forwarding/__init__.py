"""Open connections to upstreams, through a peer where this instance can't reach them."""
