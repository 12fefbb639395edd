"""Settings of a daemon, read from an INI file with all problems reported."""

import configparser
import re
from collections.abc import Callable, Iterable, Mapping
from dataclasses import dataclass
from functools import singledispatchmethod
from ipaddress import ip_address
from pathlib import Path
from types import MappingProxyType
from typing import Annotated, Any, Final, NoReturn
from urllib.parse import urlsplit

from pydantic import (
    BaseModel,
    BeforeValidator,
    ConfigDict,
    Field,
    StringConstraints,
    ValidationError,
)

from .addresses import (
    ADDRESS_RULE,
    NAME_PATTERN,
    NAME_RULE,
    Address,
    parse_integer,
)
from .memory.limits import DEFAULT_MEMORY_MB

DEFAULT_STOP_LIMIT_MS: Final = 30_000
DEFAULT_POLL_WAIT_MS: Final = 2000
DEFAULT_RETENTION_MS: Final = 3_600_000
DEFAULT_LOG_LEVEL: Final = 'info'

FILE_LIMIT_BYTES: Final = 1024 * 1024
#: Longest part of a rejected value that an error message shows.
VALUE_SHOWN_CHARS: Final = 80

LOG_LEVELS: Final = ('debug', 'info', 'warning', 'error')
HEX_RULE: Final = '64 hex digits'
REACHABLE_RULE: Final = f'{ADDRESS_RULE}, that other hosts can connect to'
URL_RULE: Final = 'http:// or https://, an IP number and a port, no path'

_NAME = re.compile(NAME_PATTERN)
_HEX = re.compile('[0-9a-fA-F]{64}')


@dataclass(frozen=True, slots=True)
class Problem:
    """One problem of a settings file; empty parts do not apply.

    ``allowed`` is the rule for the value, or the message without a value.
    """

    source: str
    section: str
    key: str
    value: str | None
    allowed: str

    def __str__(self) -> str:
        """Return one line with the position, the value and the rule."""
        position = self.source
        if self.section:
            position = f'{position}: [{self.section}]'
        if self.key:
            position = f'{position} {self.key}'
        if self.value is None:
            return f'{position}: {self.allowed}'
        shown = self.value[:VALUE_SHOWN_CHARS]
        return f'{position} = {shown!r}: allowed is {self.allowed}'


class SettingsError(Exception):
    """A settings file was rejected; ``problems`` lists all reasons."""

    def __init__(self, problems: Iterable[Problem]) -> None:
        """Join the problems to a message of one line each."""
        self.problems = tuple(problems)
        super().__init__('\n'.join(str(problem) for problem in self.problems))


def _address(text: Any) -> Address:
    return text if isinstance(text, Address) else Address.parse(text)


def _reachable_address(text: Any) -> Address:
    address = _address(text)
    ip = ip_address(address.host)
    if ip.is_unspecified or ip.is_multicast:
        raise ValueError(REACHABLE_RULE)
    return address


def _seeds(text: Any) -> tuple[Address, ...]:
    if not isinstance(text, str):
        return tuple(text)
    if not text.strip():
        return ()
    seeds = tuple(_reachable_address(part) for part in text.split(','))
    if len(set(seeds)) < len(seeds):
        raise ValueError('a seed is listed more than once')
    return seeds


def _lower_hex(text: str) -> str:
    if not _HEX.fullmatch(text):
        raise ValueError(HEX_RULE)
    return text.lower()


def parse_url(text: str) -> str:
    """Return a URL of scheme, IP number and port, without a path.

    Raises ``ValueError`` for any other text.
    """
    parts = urlsplit(text)
    if parts.scheme not in {'http', 'https'}:
        raise ValueError(URL_RULE)
    address = Address.parse(parts.netloc)
    if parts.path not in {'', '/'} or parts.query or parts.fragment:
        raise ValueError(URL_RULE)
    return f'{parts.scheme}://{address}'


def _integer_parser(low: int, high: int) -> Callable[[Any], int]:
    return lambda text: parse_integer(str(text), low, high)


_Name = Annotated[
    str,
    StringConstraints(pattern=NAME_PATTERN),
    Field(description=NAME_RULE),
]
_Address = Annotated[
    Address, BeforeValidator(_address), Field(description=ADDRESS_RULE)
]
_Reachable = Annotated[
    Address,
    BeforeValidator(_reachable_address),
    Field(description=REACHABLE_RULE),
]
_Seeds = Annotated[
    tuple[Address, ...],
    BeforeValidator(_seeds),
    Field(description=f'distinct, separated by commas, each {REACHABLE_RULE}'),
]
_Digest = Annotated[
    str,
    BeforeValidator(_lower_hex),
    Field(description=f'a SHA-256 of {HEX_RULE}'),
]
_StopLimit = Annotated[
    int,
    BeforeValidator(_integer_parser(0, 3_600_000)),
    Field(description='a whole number of milliseconds from 0 to 3600000'),
]
_Memory = Annotated[
    int,
    BeforeValidator(_integer_parser(100, 1_000_000)),
    Field(description='a whole number of megabytes from 100 to 1000000'),
]
_PollWait = Annotated[
    int,
    BeforeValidator(_integer_parser(0, 60_000)),
    Field(description='a whole number of milliseconds from 0 to 60000'),
]
_Retention = Annotated[
    int,
    BeforeValidator(_integer_parser(60_000, 2_592_000_000)),
    Field(
        description='a whole number of milliseconds from 60000 to 2592000000'
    ),
]
_Url = Annotated[str, BeforeValidator(parse_url), Field(description=URL_RULE)]
_Level = Annotated[
    str,
    StringConstraints(pattern=f'^({"|".join(LOG_LEVELS)})$'),
    Field(description=f'one of {", ".join(LOG_LEVELS)}'),
]
_File = Annotated[Path, Field(description='the path of a readable file')]


class _Section(BaseModel):
    model_config = ConfigDict(frozen=True, extra='forbid')


class DaemonSettings(_Section):
    """Identity and addresses of the daemon."""

    id: _Name
    data_centre: _Name
    region: _Name
    http_address: _Address
    peer_address: _Reachable
    admin_address: _Address
    seeds: _Seeds = ()
    admin_token_sha256: _Digest | None = Field(
        default=None, description=f'a SHA-256 of {HEX_RULE}'
    )
    stop_limit_ms: _StopLimit = DEFAULT_STOP_LIMIT_MS
    memory_mb: _Memory = DEFAULT_MEMORY_MB


class LogSettings(_Section):
    """The platform's log service; ``url`` has no trailing slash.

    The service keeps each record for at least ``retention_ms``.
    """

    url: _Url
    poll_wait_ms: _PollWait = DEFAULT_POLL_WAIT_MS
    retention_ms: _Retention = DEFAULT_RETENTION_MS


class LoggingSettings(_Section):
    """The daemon's own log output."""

    level: _Level = DEFAULT_LOG_LEVEL


class TlsSettings(_Section):
    """PEM files; certificates of peers must be signed by ``authority``."""

    certificate: _File
    private_key: _File
    authority: _File


class Settings(_Section):
    """All settings of a daemon.

    ``operators`` maps names to Ed25519 public keys of 64 hex digits. Without
    ``log`` the daemon learns bundles only from its peers.
    """

    daemon: DaemonSettings
    log: LogSettings | None = None
    operators: Mapping[str, str] = Field(default_factory=dict)
    logging: LoggingSettings = LoggingSettings()
    tls: TlsSettings | None = None


_Model = type[_Section]
_MODELS: Final[Mapping[str, _Model]] = MappingProxyType(
    {
        'daemon': DaemonSettings,
        'log': LogSettings,
        'logging': LoggingSettings,
        'tls': TlsSettings,
    }
)
_SECTIONS: Final = (*_MODELS, 'operators')


def read_settings(path: Path) -> Settings:
    """Return the settings of a file.

    Raises ``SettingsError`` with all problems of the file.
    """
    return _Reader(path).read()


class _Reader:
    """Reads one file and collects its problems."""

    def __init__(self, path: Path) -> None:
        self._path = path
        self._problems: list[Problem] = []

    def read(self) -> Settings:
        parser = self._parse(self._read_text().splitlines())
        for section in parser.sections():
            if section not in _SECTIONS:
                known = ', '.join(f'[{name}]' for name in _SECTIONS)
                self._add_problem(
                    section, '', f'unknown section; allowed are {known}'
                )
        sections = {
            name: self._read_section(name, model, parser)
            for name, model in _MODELS.items()
            if name == 'daemon' or parser.has_section(name)
        }
        operators = self._read_operators(parser)
        self._check_distinct(sections['daemon'])
        if self._problems:
            raise SettingsError(self._problems)
        return Settings.model_validate({**sections, 'operators': operators})

    def _read_text(self) -> str:
        try:
            with self._path.open('rb') as stream:
                encoded = stream.read(FILE_LIMIT_BYTES + 1)
        except OSError as error:
            self._fail(f'cannot be read: {error.strerror}')
        if len(encoded) > FILE_LIMIT_BYTES:
            self._fail(f'larger than {FILE_LIMIT_BYTES} bytes')
        try:
            return encoded.decode()
        except UnicodeDecodeError as error:
            self._fail(f'not UTF-8 at byte {error.start}')

    def _parse(self, lines: list[str]) -> configparser.RawConfigParser:
        # configparser stops at the first error. The faulty lines are blanked
        # and the file is parsed again, so that all problems are reported.
        while True:
            parser = configparser.RawConfigParser(
                delimiters=('=',), default_section='', strict=True
            )
            parser.optionxform = str  # type: ignore[assignment,method-assign]
            try:
                parser.read_string('\n'.join(lines))
            except configparser.Error as error:
                self._blank_faulty_lines(error, lines)
            else:
                return parser

    @singledispatchmethod
    def _blank_faulty_lines(
        self, error: configparser.Error, lines: list[str]
    ) -> None:
        self._fail(str(error))

    @_blank_faulty_lines.register
    def _(
        self, error: configparser.DuplicateOptionError, lines: list[str]
    ) -> None:
        self._add_problem(error.section, error.option, 'key is given twice')
        lines[(error.lineno or 1) - 1] = ''

    @_blank_faulty_lines.register
    def _(
        self, error: configparser.DuplicateSectionError, lines: list[str]
    ) -> None:
        # The keys are removed too: they would join the previous section.
        self._add_problem(error.section, '', 'section is given twice')
        start = error.lineno or 1
        lines[start - 1] = ''
        for number, line in enumerate(lines[start:], start):
            if line.startswith('['):
                return
            lines[number] = ''

    @_blank_faulty_lines.register
    def _(self, error: configparser.ParsingError, lines: list[str]) -> None:
        for number, _line in error.errors:
            shown = lines[number - 1][:VALUE_SHOWN_CHARS]
            rule = 'allowed are "[section]" and "key = value"'
            self._add_problem('', '', f'line {number} {shown!r}: {rule}')
            lines[number - 1] = ''

    @_blank_faulty_lines.register
    def _(
        self, error: configparser.MissingSectionHeaderError, lines: list[str]
    ) -> None:
        shown = error.line.strip()[:VALUE_SHOWN_CHARS]
        rule = 'allowed is a [section] line before the first key'
        self._fail(f'line {error.lineno} {shown!r}: {rule}')

    def _read_section(
        self,
        section: str,
        model: _Model,
        parser: configparser.RawConfigParser,
    ) -> _Section | None:
        present = parser.has_section(section)
        values: dict[str, Any] = dict(parser.items(section)) if present else {}
        if section == 'tls':
            values = self._resolve_files(values)
        try:
            return model.model_validate(values)
        except ValidationError as error:
            for detail in error.errors():
                self._add_value_problem(
                    section, model, str(detail['loc'][0]), values
                )
        return None

    def _add_value_problem(
        self,
        section: str,
        model: _Model,
        key: str,
        values: Mapping[str, Any],
    ) -> None:
        field = model.model_fields.get(key)
        found = values.get(key)
        if field is None:
            keys = ', '.join(model.model_fields)
            self._add_problem(section, key, f'one of the keys {keys}', found)
        elif found is None:
            self._add_problem(
                section, key, f'missing; allowed is {field.description}'
            )
        else:
            self._add_problem(section, key, str(field.description), found)

    def _resolve_files(self, values: Mapping[str, str]) -> dict[str, Any]:
        """Return the paths relative to the directory of the settings file."""
        paths: dict[str, Any] = {}
        for key, text in values.items():
            paths[key] = self._path.parent / text
            if key in TlsSettings.model_fields and not paths[key].is_file():
                self._add_problem(
                    'tls', key, 'the path of a readable file', text
                )
        return paths

    def _read_operators(
        self, parser: configparser.RawConfigParser
    ) -> dict[str, str]:
        operators: dict[str, str] = {}
        if not parser.has_section('operators'):
            return operators
        for name, text in parser.items('operators'):
            rule = self._broken_operator_rule(name, text, operators)
            if rule:
                self._add_problem('operators', name, rule, text)
            else:
                operators[name] = text.lower()
        return operators

    def _broken_operator_rule(
        self, name: str, text: str, known: Mapping[str, str]
    ) -> str:
        """Return the rule that an entry breaks, or an empty text."""
        if _NAME.fullmatch(name) is None:
            return f'a name of {NAME_RULE}'
        if _HEX.fullmatch(text) is None:
            return f'an Ed25519 public key of {HEX_RULE}'
        if text.lower() in known.values():
            return 'a key that no other operator has'
        return ''

    def _check_distinct(self, daemon: _Section | None) -> None:
        if not isinstance(daemon, DaemonSettings):
            return
        seen: set[Address] = set()
        for key in ('http_address', 'peer_address', 'admin_address'):
            address: Address = getattr(daemon, key)
            if address in seen:
                rule = 'an address that no other listener has'
                self._add_problem('daemon', key, rule, str(address))
            seen.add(address)

    def _add_problem(
        self, section: str, key: str, allowed: str, value: Any = None
    ) -> None:
        text = None if value is None else str(value)
        source = str(self._path)
        self._problems.append(Problem(source, section, key, text, allowed))

    def _fail(self, allowed: str) -> NoReturn:
        self._add_problem('', '', allowed)
        raise SettingsError(self._problems)
