"""Limits of the bytes and connections that a daemon holds for its callers."""
