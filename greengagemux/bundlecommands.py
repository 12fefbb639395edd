"""Commands that check, sign, publish and show bundles."""

import time
from collections.abc import Callable
from pathlib import Path
from typing import Any, Final

import click

from . import commands, httpcalls, signatures
from .addresses import Address
from .bundles import Bundle, BundleError, key_slot_problems, parse

_STREAM_PATH: Final = '/streams/bundles'
_PRIVATE_FILE_MODE: Final = 0o600
_PUBLIC_FILE_MODE: Final = 0o644
_APPEND_ATTEMPTS: Final = 3
_RETRY_DELAY_SECONDS: Final = 0.5
_POLL_INTERVAL_MS: Final = 200
_MS_PER_SECOND: Final = 1000
#: Target time in which 99 of 100 bundles are in force on all daemons.
DEFAULT_WAIT_MS: Final = 6000


@click.group(epilog=commands.EXIT_CODES)
def bundle() -> None:
    """Check, sign and publish bundles."""


def _read_bundle(file: Path) -> tuple[str, Bundle]:
    """Return the text and the bundle, or end the command with all problems."""
    text = commands.read_text(file)
    try:
        return text, parse(text, str(file))
    except BundleError as error:
        problems = '\n'.join(str(problem) for problem in error.problems)
        raise click.ClickException(problems) from error


def _check_predecessor(file: Path, parsed: Bundle, follows: Path) -> str:
    """Return the text that ``follows`` holds.

    Ends the command if daemons would reject ``parsed`` as its successor.
    """
    text, previous = _read_bundle(follows)
    problems = [
        f'{file}: {problem}' for problem in key_slot_problems(parsed, previous)
    ]
    if parsed.follows != previous.version:
        problems.append(
            f'{file}: [bundle] follows: {parsed.follows}: '
            f'must be {previous.version}, the version in {follows}'
        )
    if problems:
        raise click.ClickException('\n'.join(problems))
    return text


_follows_option = click.option(
    '--follows',
    type=commands.FILE,
    help='File with the text of the version that FILE follows.',
)


@bundle.command(epilog=commands.EXIT_CODES)
@click.argument('file', type=commands.FILE)
@_follows_option
def check(file: Path, follows: Path | None) -> None:
    """Check the bundle text in FILE.

    With --follows it is also checked as the successor of that version.
    """
    _text, parsed = _read_bundle(file)
    if follows is not None:
        _check_predecessor(file, parsed, follows)
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
    commands.write_new_file(out, f'{private}\n'.encode(), _PRIVATE_FILE_MODE)
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
    text, parsed = _read_bundle(file)
    previous = _check_predecessor(file, parsed, follows) if follows else ''
    key = commands.read_text(key_file).strip()
    try:
        record = signatures.sign(text, operator, key, previous)
    except ValueError as error:
        # The message may quote the private key, which must not be shown.
        raise click.ClickException(
            f'{key_file}: not a valid private key'
        ) from error
    commands.write_new_file(out, record, _PUBLIC_FILE_MODE)
    click.echo(f'{out} is signed by {operator}')


_WAIT_OPTIONS: Final = (
    click.option(
        '--admin',
        type=commands.AddressType(),
        help='Wait until this daemon has evaluated the record.',
    ),
    commands.token_option,
    click.option(
        '--wait-ms',
        type=click.IntRange(min=0),
        default=DEFAULT_WAIT_MS,
        show_default=True,
        help='Longest wait for the evaluation.',
    ),
)


def _wait_options(command: Callable[..., None]) -> Callable[..., None]:
    for option in reversed(_WAIT_OPTIONS):
        command = option(command)
    return command


@bundle.command(epilog=commands.EXIT_CODES)
@click.argument('record', type=commands.FILE)
@click.option(
    '--log', type=commands.UrlType(), required=True, help='Log store.'
)
@_wait_options
@commands.authority_option
def publish(
    record: Path,
    log: str,
    admin: Address | None,
    token_file: Path | None,
    wait_ms: int,
) -> None:
    """Append the signed RECORD to the log.

    With --admin it reports whether the record is in force at that daemon. An
    append whose response is lost is repeated; readers ignore the duplicate.
    """
    offset = _append(f'{log}{_STREAM_PATH}', record.read_bytes())
    click.echo(f'{record} is at offset {offset}')
    if admin is None:
        return
    token = commands.read_token(token_file)
    for _ in range(wait_ms // _POLL_INTERVAL_MS + 1):
        view = commands.call_daemon('GET', admin, '/bundle', token)
        newest_offset = view.get('newest_offset')
        if newest_offset is not None and newest_offset >= offset:
            _report_outcome(view, offset)
            return
        time.sleep(_POLL_INTERVAL_MS / _MS_PER_SECOND)
    commands.fail_command(
        f'{admin} has not evaluated offset {offset} in {wait_ms} ms'
    )


def _append(url: str, payload: bytes) -> int:
    failure = ''
    for attempt in range(_APPEND_ATTEMPTS):
        if attempt:
            time.sleep(_RETRY_DELAY_SECONDS)
        try:
            response = httpcalls.call('POST', url, payload)
        except httpcalls.UnreachableError as error:
            failure = str(error)
            continue
        if response.accepted:
            return _parse_offset(response.content())
        failure = f'{response.status} {commands.error_text(response.content())}'
        if response.status // 100 == 4:
            commands.fail_command(f'the log store refused: {failure}')
    raise commands.UnreachableFailure(
        f'{failure}; the append may have taken effect, see "bundle status"'
    )


def _parse_offset(content: Any) -> int:
    offset = content.get('offset') if isinstance(content, dict) else None
    if isinstance(offset, int):
        return offset
    return commands.fail_command('the response of the log store has no offset')


def _report_outcome(view: dict[str, Any], offset: int) -> None:
    version = view.get('version')
    if view.get('offset') == offset:
        click.echo(f'version {version} is in force')
        return
    for rejected in view.get('rejected', ()):
        if rejected['offset'] == offset:
            reason = commands.printable(rejected['reason'])
            commands.fail_command(f'rejected: {reason}')
    at_offset = view.get('offset')
    commands.fail_command(
        f'not in force: version {version} at {at_offset} is in force'
    )


@bundle.command(epilog=commands.EXIT_CODES)
@commands.admins_option
@commands.authority_option
@commands.token_option
@commands.json_option
def status(
    admins: tuple[Address, ...], token_file: Path | None, as_json: bool
) -> None:
    """Print the bundle in force at each daemon, and rejected records."""
    token = commands.read_token(token_file)
    for admin, view in commands.call_each_daemon(admins, '/bundle', token):
        if not as_json:
            view.pop('text', None)
        commands.print_content({str(admin): view}, as_json=as_json)
