"""Limits of the operating system for this process."""

import resource


def raise_file_limit() -> int:
    """Raise the limit of open files to its hard limit and return it."""
    _soft, hard = resource.getrlimit(resource.RLIMIT_NOFILE)
    resource.setrlimit(resource.RLIMIT_NOFILE, (hard, hard))
    return hard
