"""Command line of the daemon and its operators."""

from importlib import import_module, util
from pathlib import Path
from types import MappingProxyType
from typing import Any, Final

import click

from . import bundlecommands, commands
from .addresses import Address
from .checks import verify
from .outcomes import FailureError
from .settings import Settings, SettingsError, read_settings
from .timelines import timeline

_DAEMONS_MODULE: Final = 'greengagemux.daemons'
#: Modules of the tools, imported only when they are used: some need the
#: packages of the extra ``report``.
_TOOLS: Final = MappingProxyType(
    {
        'capacity': 'greengagemux.capacity',
        'convictions': 'greengagemux.crashtrials',
        'experiment': 'greengagemux.experiments',
        'load': 'greengagemux.loads',
        'overload': 'greengagemux.overloads',
        'slopes': 'greengagemux.slopes',
        'writes': 'greengagemux.outages',
    }
)


class _MainGroup(click.Group):
    """Imports a tool only when it is used."""

    def list_commands(self, ctx: click.Context) -> list[str]:
        found = [name for name in _TOOLS if util.find_spec(_TOOLS[name])]
        return sorted((*super().list_commands(ctx), *found))

    def get_command(
        self, ctx: click.Context, cmd_name: str
    ) -> click.Command | None:
        module = _TOOLS.get(cmd_name)
        if module is None or util.find_spec(module) is None:
            return super().get_command(ctx, cmd_name)
        found = import_module(module)
        command: click.Command = getattr(
            found, f'{cmd_name}_command', None
        ) or getattr(found, cmd_name)
        return command


@click.group(cls=_MainGroup, epilog=commands.EXIT_CODES)
@click.version_option(package_name='greengagemux')
def main() -> None:
    """Run and operate the daemons of a greengagemux fleet."""


def _settings(path: Path) -> Settings:
    try:
        return read_settings(path)
    except SettingsError as error:
        raise commands.SettingsFailure(str(error)) from error


@main.command(epilog=commands.EXIT_CODES)
@click.option(
    '--settings',
    'path',
    type=commands.FILE,
    required=True,
    help='INI file of the daemon.',
)
def serve(path: Path) -> None:
    """Run a daemon until it is drained or receives SIGTERM."""
    settings = _settings(path)
    # Twisted's reactor is installed on import, so only here.
    daemons = import_module(_DAEMONS_MODULE)
    try:
        daemons.run(settings)
    except OSError as error:
        commands.refuse(f'cannot serve: {error}')
    except FailureError as error:
        raise commands.SettingsFailure(str(error)) from error


@main.command(epilog=commands.EXIT_CODES)
@click.argument('file', type=commands.FILE)
@commands.json_option
def check(file: Path, as_json: bool) -> None:
    """Check the daemon settings in FILE and print them."""
    settings = _settings(file)
    found: dict[str, Any] = settings.model_dump(mode='json')
    daemon = found['daemon']
    for key, setting in dict(settings.daemon).items():
        if isinstance(setting, Address):
            daemon[key] = str(setting)
    daemon['seeds'] = [str(seed) for seed in settings.daemon.seeds]
    commands.show(found, as_json=as_json)


@main.command(epilog=commands.EXIT_CODES)
@commands.admin_option
@commands.authority_option
@commands.token_option
def drain(admin: Address, token_file: Path | None) -> None:
    """Let a daemon finish its requests, hand over and stop."""
    token = commands.read_token(token_file)
    commands.administer('POST', admin, '/drain', token)
    click.echo(f'{admin} drains')


@main.command(epilog=commands.EXIT_CODES)
@commands.admins_option
@commands.authority_option
@commands.token_option
@commands.json_option
def status(
    admins: tuple[Address, ...], token_file: Path | None, as_json: bool
) -> None:
    """Print upstreams, bundle, members and streams as daemons see them."""
    token = commands.read_token(token_file)
    for admin, state in commands.read_each(admins, '/state', token):
        commands.show({str(admin): state}, as_json=as_json)


main.add_command(bundlecommands.bundle)
main.add_command(timeline)
main.add_command(verify)
