"""Stand-ins for upstreams, the platform's log store and faulty links."""
