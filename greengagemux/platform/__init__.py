"""Adapter to the users' platform.

Translates the platform's settings, configuration, HTTP headers and metadata
store into the types of the daemon.
"""
