"""Shared by the commands: options, exit codes, calls to daemons, output."""

import json
import os
from collections.abc import Iterator, Mapping
from pathlib import Path
from typing import Any, Final, NoReturn

import click

from . import httpcalls
from .addresses import Address
from .settings import parse_url

EXIT_FAILED: Final = 1
EXIT_USAGE: Final = 2
EXIT_UNREACHABLE: Final = 3
TOKEN_VARIABLE: Final = 'GREENGAGE_TOKEN'

EXIT_CODES: Final = """\b
Exit codes:
  0  ok
  1  the operation was refused or failed
  2  bad usage or bad settings
  3  a peer or the log store cannot be reached"""

JsonObject = dict[str, Any]

#: Key of the value of ``--authority`` in the context of a command.
_AUTHORITY_KEY: Final = 'greengagemux.authority'
_INDENT: Final = '  '


class UnreachableFailure(click.ClickException):
    """Ends a command that cannot reach a daemon or the log store."""

    exit_code = EXIT_UNREACHABLE


class SettingsFailure(click.ClickException):
    """Ends a command that was given bad settings."""

    exit_code = EXIT_USAGE


class AddressType(click.ParamType[Address]):
    """IP number and port."""

    name = 'address'

    def convert(
        self,
        value: Any,
        param: click.Parameter | None,
        ctx: click.Context | None,
    ) -> Address:
        """Return the address, or end with a usage error."""
        try:
            return Address.parse(value)
        except ValueError as error:
            self.fail(f'{value!r}: {error}', param, ctx)


class UrlType(click.ParamType[str]):
    """URL with an IP number and port, without a path."""

    name = 'url'

    def convert(
        self,
        value: Any,
        param: click.Parameter | None,
        ctx: click.Context | None,
    ) -> str:
        """Return the URL, or end with a usage error."""
        try:
            return parse_url(value)
        except ValueError as error:
            self.fail(f'{value!r}: {error}', param, ctx)


FILE: Final = click.Path(exists=True, dir_okay=False, path_type=Path)
NEW_FILE: Final = click.Path(dir_okay=False, path_type=Path)

admin_option = click.option(
    '--admin',
    type=AddressType(),
    required=True,
    help='Administration address of the daemon.',
)
admins_option = click.option(
    '--admin',
    'admins',
    type=AddressType(),
    required=True,
    multiple=True,
    help='Administration address of a daemon; may be repeated.',
)
authority_option = click.option(
    '--authority',
    type=FILE,
    expose_value=False,
    callback=lambda ctx, _param, path: _store_authority(ctx, path),
    help='PEM file of the certificate authority; turns on https.',
)
token_option = click.option(
    '--token-file',
    type=FILE,
    help=f'File with the token; without it, ${TOKEN_VARIABLE} is used.',
)
json_option = click.option('--json', 'as_json', is_flag=True, help='As JSON.')


def _store_authority(ctx: click.Context, path: Path | None) -> None:
    ctx.meta[_AUTHORITY_KEY] = path


def read_token(token_file: Path | None) -> str:
    """Return the token from a file or, without one, the environment."""
    if token_file is None:
        return os.environ.get(TOKEN_VARIABLE, '')
    return read_text(token_file).strip()


def read_text(path: Path) -> str:
    """Return the text of a UTF-8 file, or end the command with an error."""
    try:
        return path.read_text('utf-8')
    except (OSError, UnicodeDecodeError) as error:
        raise click.ClickException(f'{path}: {error}') from error


def write_new_file(path: Path, content: bytes, mode: int) -> None:
    """Create a file with permissions ``mode``; end the command if it exists."""
    flags = os.O_WRONLY | os.O_CREAT | os.O_EXCL
    try:
        descriptor = os.open(path, flags, mode)
    except OSError as error:
        raise click.ClickException(f'{path}: {error.strerror}') from error
    with os.fdopen(descriptor, 'wb') as stream:
        stream.write(content)


def call_daemon(
    method: str, admin: Address, path: str, token: str
) -> JsonObject:
    """Return the JSON object of a response, or end the command."""
    ctx = click.get_current_context(silent=True)
    authority = ctx.meta.get(_AUTHORITY_KEY) if ctx else None
    scheme = 'https' if authority else 'http'
    url = f'{scheme}://{admin}{path}'
    try:
        response = httpcalls.call(method, url, token=token, authority=authority)
    except httpcalls.UnreachableError as error:
        raise UnreachableFailure(str(error)) from error
    content = response.content()
    if response.accepted and isinstance(content, dict):
        return content
    raise click.ClickException(
        f'{admin}: {response.status} {error_text(content)}'
    )


def error_text(content: Any) -> str:
    """Return the printable error of a response."""
    if isinstance(content, dict):
        return printable(content.get('error', content))
    return printable(content)


def call_each_daemon(
    admins: tuple[Address, ...], path: str, token: str
) -> Iterator[tuple[Address, JsonObject]]:
    """Yield the responses; end with the highest exit code of those that failed."""
    worst = 0
    for admin in admins:
        try:
            response = call_daemon('GET', admin, path, token)
        except click.ClickException as error:
            error.show()
            worst = max(worst, error.exit_code)
        else:
            yield admin, response
    if worst:
        raise click.exceptions.Exit(worst)


def fail_command(error: str) -> NoReturn:
    """End the command with exit code 1."""
    raise click.ClickException(error)


def print_content(content: Any, *, as_json: bool) -> None:
    """Print a JSON value as JSON or as an indented outline."""
    if as_json:
        click.echo(json.dumps(content, indent=2))
        return
    for line in outline(content):
        click.echo(line)


def outline(content: Any, indent: str = '') -> Iterator[str]:
    """Yield a JSON value as indented lines of printable text."""
    if isinstance(content, Mapping):
        pairs: Any = content.items()
    elif isinstance(content, list):
        pairs = (('-', entry) for entry in content)
    else:
        yield f'{indent}{printable(content)}'
        return
    for name, entry in pairs:
        label = name if name == '-' else f'{printable(name)}:'
        if entry and isinstance(entry, (Mapping, list)):
            yield f'{indent}{label}'
            yield from outline(entry, indent + _INDENT)
        else:
            yield f'{indent}{label} {printable(entry)}'


def printable(content: Any) -> str:
    """Return text whose control characters are escaped for a terminal."""
    if isinstance(content, str):
        return json.dumps(content, ensure_ascii=False)[1:-1]
    return json.dumps(content, default=str)
