"""Runs a daemon with the platform adapter; see ``docs/platform.md``."""

from .daemons import main

if __name__ == '__main__':
    main()
