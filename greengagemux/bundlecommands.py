"""Commands that check, sign and publish bundles."""

import time
from collections.abc import Callable
from pathlib import Path
from typing import Any, Final

import click

from . import commands, httpcalls, signatures
from .addresses import Address
from .bundles import Bundle, BundleError, key_slot_problems, parse

_STREAM_PATH: Final = '/streams/bundles'
_PRIVATE_MODE: Final = 0o600
_PUBLIC_MODE: Final = 0o644
_APPEND_ATTEMPTS: Final = 3
_RETRY_SECONDS: Final = 0.5
_POLL_MS: Final = 200
_SECOND_MS: Final = 1000
#: The target for 99 in 100 bundles to be in force everywhere.
DEFAULT_WAIT_MS: Final = 6000


@click.group(epilog=commands.EXIT_CODES)
def bundle() -> None:
    """Check, sign and publish bundles."""


def _checked(file: Path) -> tuple[str, Bundle]:
    """Return text and parsed bundle, or end with all problems."""
    text = commands.read_text(file)
    try:
        return text, parse(text, str(file))
    except BundleError as error:
        problems = '\n'.join(str(problem) for problem in error.problems)
        raise click.ClickException(problems) from error


def _check_follows(file: Path, found: Bundle, follows: Path) -> str:
    """Return the text before, or end with the reasons for a rejection."""
    text, before = _checked(follows)
    problems = [
        f'{file}: {problem}' for problem in key_slot_problems(found, before)
    ]
    if found.follows != before.version:
        problems.append(
            f'{file}: [bundle] follows: {found.follows}: '
            f'must be {before.version}, the version in {follows}'
        )
    if problems:
        raise click.ClickException('\n'.join(problems))
    return text


_follows_option = click.option(
    '--follows',
    type=commands.FILE,
    help='Text of the version that FILE follows.',
)


@bundle.command(epilog=commands.EXIT_CODES)
@click.argument('file', type=commands.FILE)
@_follows_option
def check(file: Path, follows: Path | None) -> None:
    """Check the bundle text in FILE, also against the version before."""
    _text, found = _checked(file)
    if follows is not None:
        _check_follows(file, found, follows)
    click.echo(f'{file} is valid')


@bundle.command(epilog=commands.EXIT_CODES)
@click.option(
    '--out',
    type=commands.NEW_FILE,
    required=True,
    help='New file for the private key, readable by its owner only.',
)
def keygen(out: Path) -> None:
    """Make a key pair and print the public key for [operators]."""
    private, public = signatures.keygen()
    commands.write_new(out, f'{private}\n'.encode(), _PRIVATE_MODE)
    click.echo(public)


_SIGN_OPTIONS: Final = (
    click.option('--operator', required=True, help='Name in [operators].'),
    click.option(
        '--key-file', type=commands.FILE, required=True, help='Private key.'
    ),
    click.option(
        '--out', type=commands.NEW_FILE, required=True, help='New record file.'
    ),
    _follows_option,
)


def _sign_options(command: Callable[..., None]) -> Callable[..., None]:
    for option in reversed(_SIGN_OPTIONS):
        command = option(command)
    return command


@bundle.command(epilog=commands.EXIT_CODES)
@click.argument('file', type=commands.FILE)
@_sign_options
def sign(
    file: Path,
    operator: str,
    key_file: Path,
    out: Path,
    follows: Path | None,
) -> None:
    """Check the bundle text in FILE and sign it into a record file.

    With --follows the record holds only the sections that differ, unless a
    full record is due or is no larger.
    """
    text, found = _checked(file)
    before = _check_follows(file, found, follows) if follows else ''
    key = commands.read_text(key_file).strip()
    try:
        record = signatures.sign(text, operator, key, before)
    except ValueError as error:
        # The message may repeat the key, which must not be shown.
        raise click.ClickException(f'{key_file}: no private key') from error
    commands.write_new(out, record, _PUBLIC_MODE)
    click.echo(f'{out} is signed by {operator}')


_VERDICT_OPTIONS: Final = (
    click.option(
        '--admin',
        type=commands.AddressType(),
        help='Wait until this daemon has judged the record.',
    ),
    commands.token_option,
    click.option(
        '--wait-ms',
        type=click.IntRange(min=0),
        default=DEFAULT_WAIT_MS,
        show_default=True,
        help='How long to wait for the verdict.',
    ),
)


def _verdict_options(command: Callable[..., None]) -> Callable[..., None]:
    for option in reversed(_VERDICT_OPTIONS):
        command = option(command)
    return command


@bundle.command(epilog=commands.EXIT_CODES)
@click.argument('record', type=commands.FILE)
@click.option(
    '--log', type=commands.UrlType(), required=True, help='Log store.'
)
@_verdict_options
@commands.authority_option
def publish(
    record: Path,
    log: str,
    admin: Address | None,
    token_file: Path | None,
    wait_ms: int,
) -> None:
    """Append the signed RECORD to the log, and report its verdict.

    An append whose reply is lost is repeated; readers ignore the copy.
    """
    offset = _append(f'{log}{_STREAM_PATH}', record.read_bytes())
    click.echo(f'{record} is at offset {offset}')
    if admin is None:
        return
    token = commands.read_token(token_file)
    for _ in range(wait_ms // _POLL_MS + 1):
        found = commands.administer('GET', admin, '/bundle', token)
        newest = found.get('newest_offset')
        if newest is not None and newest >= offset:
            _report_verdict(found, offset)
            return
        time.sleep(_POLL_MS / _SECOND_MS)
    commands.refuse(f'{admin} has not judged offset {offset} in {wait_ms} ms')


def _append(url: str, payload: bytes) -> int:
    failure = ''
    for attempt in range(_APPEND_ATTEMPTS):
        if attempt:
            time.sleep(_RETRY_SECONDS)
        try:
            reply = httpcalls.call('POST', url, payload)
        except httpcalls.UnreachableError as error:
            failure = str(error)
            continue
        if reply.accepted:
            return _offset(reply.content())
        failure = f'{reply.status} {commands.refusal(reply.content())}'
        if reply.status // 100 == 4:
            commands.refuse(f'the log store refused: {failure}')
    raise commands.UnreachableFailure(
        f'{failure}; the append may have taken effect, see "bundle status"'
    )


def _offset(content: Any) -> int:
    offset = content.get('offset') if isinstance(content, dict) else None
    if isinstance(offset, int):
        return offset
    return commands.refuse('the reply of the log store has no offset')


def _report_verdict(found: dict[str, Any], offset: int) -> None:
    version = found.get('version')
    if found.get('offset') == offset:
        click.echo(f'version {version} is in force')
        return
    for rejected in found.get('rejected', ()):
        if rejected['offset'] == offset:
            reason = commands.printable(rejected['reason'])
            commands.refuse(f'rejected: {reason}')
    at_offset = found.get('offset')
    commands.refuse(f'not in force: version {version} at {at_offset} is')


@bundle.command(epilog=commands.EXIT_CODES)
@commands.admins_option
@commands.authority_option
@commands.token_option
@commands.json_option
def status(
    admins: tuple[Address, ...], token_file: Path | None, as_json: bool
) -> None:
    """Print which bundle is in force at daemons, and rejected records."""
    token = commands.read_token(token_file)
    for admin, found in commands.read_each(admins, '/bundle', token):
        if not as_json:
            found.pop('text', None)
        commands.show({str(admin): found}, as_json=as_json)
