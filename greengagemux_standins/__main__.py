"""Runs the command line of the stand-ins."""

from .cli import main

if __name__ == '__main__':
    main()
