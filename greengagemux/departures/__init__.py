"""Departures of upstreams, kept in the log before they are acknowledged."""
