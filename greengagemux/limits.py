"""Limits of the operating system for this process."""

import resource


def raise_file_limit() -> int:
    """Raise the soft limit of open files to the hard limit; return that."""
    _soft, hard = resource.getrlimit(resource.RLIMIT_NOFILE)
    resource.setrlimit(resource.RLIMIT_NOFILE, (hard, hard))
    return hard
