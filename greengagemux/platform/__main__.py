"""Runs a daemon on the platform; see ``docs/platform.md``."""

from .daemons import main

if __name__ == '__main__':
    main()
