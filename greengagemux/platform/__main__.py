"""Runs a daemon with the platform adapter; see ``docs/platform.md``."""

import sys

from .daemons import main


def _run() -> None:
    if sys.argv[1:]:
        # Imported only on use: daemons are started without arguments.
        from .commands import command

        command(prog_name='python -m greengagemux.platform')
        return
    main()


if __name__ == '__main__':
    _run()
