"""How responses of upstreams end, and whether an end shows that the response is whole."""
