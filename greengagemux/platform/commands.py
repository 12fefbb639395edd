"""Command line of the daemon on the users' platform."""

import sys
from pathlib import Path

import click

from ..outcomes import FailureError
from .daemons import EXIT_BAD_SETTINGS, main
from .settings import DEFAULT_PATH, PATH_VARIABLE, read_settings


@click.command(
    epilog=f'Exit status: {EXIT_BAD_SETTINGS} if the settings are invalid.'
)
@click.option(
    '--settings',
    'path',
    type=click.Path(path_type=Path),
    help=f'Settings file. Default: ${PATH_VARIABLE}, or {DEFAULT_PATH}.',
)
@click.option(
    '--check', is_flag=True, help='Check the settings and start nothing.'
)
def command(path: Path | None, *, check: bool) -> None:
    """Run the daemon of this host with the platform adapter."""
    if not check:
        main(path)
        return
    try:
        settings = read_settings(path)
    except FailureError as error:
        click.echo(str(error.failure), err=True)
        sys.exit(EXIT_BAD_SETTINGS)
    click.echo(f'valid: daemon {settings.daemon}, service {settings.service}')
