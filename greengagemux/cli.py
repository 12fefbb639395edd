"""Command line of the daemon and its operators."""

from collections.abc import Callable
from importlib import import_module, util
from pathlib import Path
from types import MappingProxyType
from typing import Any, Final
from urllib.parse import urlencode

import click

from . import bundlecommands, commands
from .addresses import Address
from .checks import verify
from .outcomes import FailureError
from .settings import Settings, SettingsError, read_settings
from .timelines import timeline

_DAEMONS_MODULE: Final = 'greengagemux.daemons'
#: Modules of the commands that are imported only on use: some need the
#: packages of the extra ``report``.
_LAZY_COMMAND_MODULES: Final = MappingProxyType(
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
    """Adds the commands of ``_LAZY_COMMAND_MODULES`` that are installed."""

    def list_commands(self, ctx: click.Context) -> list[str]:
        installed = [
            name
            for name in _LAZY_COMMAND_MODULES
            if util.find_spec(_LAZY_COMMAND_MODULES[name])
        ]
        return sorted((*super().list_commands(ctx), *installed))

    def get_command(
        self, ctx: click.Context, cmd_name: str
    ) -> click.Command | None:
        module = _LAZY_COMMAND_MODULES.get(cmd_name)
        if module is None or util.find_spec(module) is None:
            return super().get_command(ctx, cmd_name)
        tool_module = import_module(module)
        command: click.Command = getattr(
            tool_module, f'{cmd_name}_command', None
        ) or getattr(tool_module, cmd_name)
        return command


@click.group(cls=_MainGroup, epilog=commands.EXIT_CODES)
@click.version_option(package_name='greengagemux')
def main() -> None:
    """Run and operate the daemons of a greengagemux fleet."""


def _load_settings(path: Path) -> Settings:
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
    settings = _load_settings(path)
    # The import installs the reactor of Twisted, so only this command does it.
    daemons = import_module(_DAEMONS_MODULE)
    try:
        daemons.run(settings)
    except OSError as error:
        commands.fail_command(f'cannot serve: {error}')
    except FailureError as error:
        raise commands.SettingsFailure(str(error)) from error


@main.command(epilog=commands.EXIT_CODES)
@click.argument('file', type=commands.FILE)
@commands.json_option
def check(file: Path, as_json: bool) -> None:
    """Check the daemon settings in FILE and print them."""
    settings = _load_settings(file)
    content: dict[str, Any] = settings.model_dump(mode='json')
    daemon = content['daemon']
    for key, setting in dict(settings.daemon).items():
        if isinstance(setting, Address):
            daemon[key] = str(setting)
    daemon['seeds'] = [str(seed) for seed in settings.daemon.seeds]
    commands.print_content(content, as_json=as_json)


@main.command(epilog=commands.EXIT_CODES)
@commands.admin_option
@commands.authority_option
@commands.token_option
def drain(admin: Address, token_file: Path | None) -> None:
    """Let a daemon finish its requests, hand over its key slots and stop."""
    token = commands.read_token(token_file)
    commands.call_daemon('POST', admin, '/drain', token)
    click.echo(f'{admin} is draining')


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
    for admin, state in commands.call_each_daemon(admins, '/state', token):
        commands.print_content({str(admin): state}, as_json=as_json)


def _explain_options(command: Callable[..., None]) -> Callable[..., None]:
    """Add the options that name the daemon and describe the request."""
    options = (
        commands.admin_option,
        click.option(
            '--host', required=True, help='Virtual host, without a port.'
        ),
        click.option('--path', required=True, help='Path of the request.'),
        click.option('--method', default='GET', show_default=True),
        click.option(
            '--account', default='', help='Name of the account, never a key.'
        ),
    )
    for option in reversed(options):
        command = option(command)
    return command


@main.command(epilog=commands.EXIT_CODES)
@_explain_options
@commands.authority_option
@commands.token_option
@commands.json_option
def explain(
    admin: Address,
    token_file: Path | None,
    as_json: bool,
    **question: str,
) -> None:
    """Print where a request would go now, and why, without sending it."""
    token = commands.read_token(token_file)
    query = urlencode(question)
    content = commands.call_daemon('GET', admin, f'/explain?{query}', token)
    commands.print_content(content, as_json=as_json)


main.add_command(bundlecommands.bundle)
main.add_command(timeline)
main.add_command(verify)
