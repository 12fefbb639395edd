"""Stand-ins for the platform: upstreams, log store and link faults."""
