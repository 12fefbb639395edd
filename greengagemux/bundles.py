"""Bundle text: the signed configuration of the fleet, parsed and checked."""

import re
from collections.abc import Callable, Iterable, Mapping
from configparser import ConfigParser
from configparser import Error as IniError
from dataclasses import dataclass, field
from functools import lru_cache
from types import MappingProxyType
from typing import Annotated, Any, Final, NewType, TypeAlias, TypeVar

from pydantic import (
    AfterValidator,
    BeforeValidator,
    Field,
    StringConstraints,
    TypeAdapter,
    ValidationError,
    with_config,
)

from .ids import BundleVersion, CallerName, DataCentre, RouteName, ServiceName
from .messages import Priority

TeamName = NewType('TeamName', str)

#: Caller that stands for requests without a token.
ANONYMOUS: Final = CallerName('anonymous')

#: Defaults of all optional keys.
RETRIES_PCT: Final = 10
REGION_LINK_KBIT_S: Final = 20_000
FLOOR_PCT: Final = 70
FALSE_ALARM: Final = 1e-6
MISS: Final = 1e-3
QUEUE_LIMIT: Final = 64
QUEUE_LIMIT_BYTES: Final = 4 * 1024 * 1024
KEY_SLOTS: Final = 16
DEADLINE_MS: Final = 2_000
BODY_LIMIT_BYTES: Final = 64 * 1024
ANSWER_LIMIT_BYTES: Final = 1024 * 1024
CALLER_IN_FLIGHT: Final = 50
TEAM_IN_FLIGHT: Final = 200

#: Above this the versions of a chain could no longer be counted up safely.
VERSION_LIMIT: Final = 10**15
#: A message between daemons holds 8 MiB; the rest is for its other fields.
MESSAGE_LIMIT_BYTES: Final = 7 * 1024 * 1024

_NAME: Final = re.compile('[a-z0-9][a-z0-9_.-]{0,63}')
_METHOD: Final = re.compile('[A-Z]{1,20}')
_VALUE_SHOWN: Final = 60
_Section = TypeVar('_Section')


def _words(raw: object) -> object:
    """Split a comma-separated value; other types pass unchanged."""
    return _split(raw) if isinstance(raw, str) else raw


@lru_cache(maxsize=1024)
def _split(raw: str) -> frozenset[str]:
    # Callers with the same list share one set, which bounds memory.
    return frozenset(word.strip() for word in raw.split(',') if word.strip())


def _methods(raw: object) -> object:
    words = _words(raw)
    if not isinstance(words, frozenset):
        return words
    if all(_METHOD.fullmatch(word) for word in words):
        return frozenset(word.encode() for word in words)
    raise ValueError('must be names of HTTP methods in capital letters')


def _none_if_empty(raw: object) -> object:
    return raw or None


_Version = Annotated[int, Field(ge=1, le=VERSION_LIMIT)]
_Follows = Annotated[int, Field(ge=0, le=VERSION_LIMIT)]
_Percent = Annotated[int, Field(ge=0, le=100)]
_ErrorRate = Annotated[float, Field(ge=1e-12, le=0.1, allow_inf_nan=False)]
_LinkRate = Annotated[int, Field(ge=0, le=100_000_000)]
_Count = Annotated[int, Field(ge=1, le=100_000)]
_Bytes = Annotated[int, Field(ge=0, le=MESSAGE_LIMIT_BYTES)]
_QueueBytes = Annotated[int, Field(ge=0, le=1024 * 1024 * 1024)]
_Segment = r'(?!\.{1,2}(?:/|$))[A-Za-z0-9._~-]+'
_Token = Annotated[str, StringConstraints(pattern='^([0-9a-f]{64})?$')]
_HeaderName = Annotated[
    str,
    StringConstraints(to_lower=True, pattern='^[A-Za-z0-9-]{0,64}$'),
]
_PREFIX_PATTERN: Final = re.compile(f'/(?:{_Segment}/)*(?:{_Segment})?')


def _checked_prefix(raw: str) -> str:
    if _PREFIX_PATTERN.fullmatch(raw):
        return raw
    raise ValueError(
        'must be an absolute path of unencoded segments without "." and ".."',
    )


_Prefix = Annotated[
    str,
    StringConstraints(max_length=512),
    AfterValidator(_checked_prefix),
]


@with_config(extra='forbid')
@dataclass(frozen=True, slots=True)
class Service:
    """A service and its limits.

    ``false_alarm`` and ``miss`` are probabilities of the detector's test.
    """

    name: ServiceName
    floor_pct: _Percent = FLOOR_PCT
    false_alarm: _ErrorRate = FALSE_ALARM
    miss: _ErrorRate = MISS
    queue_limit: Annotated[int, Field(ge=0, le=100_000)] = QUEUE_LIMIT
    queue_limit_bytes: _QueueBytes = QUEUE_LIMIT_BYTES
    key_slots: Annotated[int, Field(ge=1, le=4096)] = KEY_SLOTS


@with_config(extra='forbid')
@dataclass(frozen=True, slots=True)
class Route:
    """Requests with one path prefix, served by one service.

    ``echo_header`` names a header of the request that a right answer
    repeats; an answer that does not is discarded as wrong.
    """

    name: RouteName
    service: ServiceName
    prefix: _Prefix
    methods: Annotated[
        frozenset[bytes],
        BeforeValidator(_methods),
        Field(min_length=1),
    ]
    idempotent: bool = False
    priority: Priority = Priority.routine
    deadline_ms: Annotated[int, Field(ge=1, le=600_000)] = DEADLINE_MS
    body_limit_bytes: _Bytes = BODY_LIMIT_BYTES
    answer_limit_bytes: _Bytes = ANSWER_LIMIT_BYTES
    echo_header: _HeaderName = ''


@with_config(extra='forbid')
@dataclass(frozen=True, slots=True)
class Caller:
    """A client account; ``token_sha256`` is empty only for ``anonymous``."""

    name: CallerName
    token_sha256: _Token = ''
    priority: Priority = Priority.routine
    max_in_flight: _Count = CALLER_IN_FLIGHT
    routes: Annotated[frozenset[RouteName], BeforeValidator(_words)] = (
        frozenset()
    )
    team: Annotated[TeamName | None, BeforeValidator(_none_if_empty)] = None


@with_config(extra='forbid')
@dataclass(frozen=True, slots=True)
class Team:
    """Callers that share a limit of requests in flight at each entrance."""

    name: TeamName
    max_in_flight: _Count = TEAM_IN_FLIGHT


@with_config(extra='forbid')
@dataclass(frozen=True, slots=True)
class Stage:
    """Daemons that take the bundle while it is rolled out in stages.

    A daemon takes it if it is within the share or in a listed data centre.
    """

    share_pct: _Percent = 0
    data_centres: Annotated[
        frozenset[DataCentre],
        BeforeValidator(_words),
    ] = frozenset()


@dataclass(frozen=True, slots=True)
class Bundle:
    """One version of the configuration of the fleet.

    ``follows`` is the version it replaces, 0 for the first bundle. Without
    a ``stage`` every daemon takes the bundle. ``region_link_kbit_s`` is what
    all requests placed in the other region and their answers may use, 0 for
    no such requests.
    """

    version: BundleVersion
    follows: BundleVersion
    retries_pct: int = RETRIES_PCT
    region_link_kbit_s: int = REGION_LINK_KBIT_S
    services: Mapping[ServiceName, Service] = field(default_factory=dict)
    routes: Mapping[RouteName, Route] = field(default_factory=dict)
    callers: Mapping[CallerName, Caller] = field(default_factory=dict)
    teams: Mapping[TeamName, Team] = field(default_factory=dict)
    stage: Stage | None = None


@with_config(extra='forbid')
@dataclass(frozen=True, slots=True)
class _Head:
    version: _Version
    follows: _Follows
    retries_pct: _Percent = RETRIES_PCT
    region_link_kbit_s: _LinkRate = REGION_LINK_KBIT_S


class BundleError(Exception):
    """A bundle text that cannot be used; ``problems`` lists all faults."""

    def __init__(self, problems: Iterable[str]) -> None:
        """Keep the problems, one line each."""
        self.problems = tuple(problems)
        super().__init__('\n'.join(self.problems))


_Adapters: TypeAlias = Mapping[str, TypeAdapter[Any]]
_SINGLE: Final[_Adapters] = MappingProxyType(
    {
        'bundle': TypeAdapter(_Head),
        'rollout': TypeAdapter(Stage),
    }
)
_NAMED: Final[_Adapters] = MappingProxyType(
    {
        'service': TypeAdapter(Service),
        'route': TypeAdapter(Route),
        'caller': TypeAdapter(Caller),
        'team': TypeAdapter(Team),
    }
)
_ALLOWED_SECTIONS: Final = (
    'allowed are [bundle], [rollout], [service NAME], [route NAME], '
    '[caller NAME] and [team NAME]'
)


def parse(text: str, source: str) -> Bundle:
    """Parse and check a bundle text; ``source`` names it in problems.

    Raises ``BundleError`` that lists every problem.
    """
    reader = _Reader(source)
    reader.read(_sections(text, source))
    bundle = reader.bundle()
    if bundle is None or reader.problems:
        raise BundleError(reader.problems)
    return bundle


def _sections(text: str, source: str) -> ConfigParser:
    ini = ConfigParser(
        delimiters=('=',),
        comment_prefixes=('#', ';'),
        default_section='\0',
        empty_lines_in_values=False,
        interpolation=None,
    )
    ini.optionxform = str  # type: ignore[assignment, method-assign]
    try:
        ini.read_string(text, source)
    except IniError as error:
        raise BundleError([f'{source}: {error}'.replace('\n', ' ')]) from error
    return ini


class _Reader:
    """Builds the objects of one text and collects its problems."""

    def __init__(self, source: str) -> None:
        self.problems: list[str] = []
        self._source = source
        self._has_head = False
        self._single: dict[str, Any] = {}
        self._named: dict[str, Any] = {kind: {} for kind in _NAMED}

    def read(self, ini: ConfigParser) -> None:
        """Read all sections."""
        self._has_head = ini.has_section('bundle')
        for section in ini.sections():
            self._read_section(section, dict(ini.items(section)))

    def bundle(self) -> Bundle | None:
        """Return the checked bundle, or nothing when it has no head."""
        if 'bundle' not in self._single:
            if not self._has_head:
                self._problem('bundle', '', 'missing', 'required section')
            return None
        head = self._single['bundle']
        bundle = Bundle(
            version=head.version,
            follows=head.follows,
            retries_pct=head.retries_pct,
            region_link_kbit_s=head.region_link_kbit_s,
            **{f'{kind}s': named for kind, named in self._named.items()},
            stage=self._single.get('rollout'),
        )
        self._check(bundle)
        return bundle

    def _read_section(self, section: str, keys: dict[str, str]) -> None:
        kind, _, name = section.partition(' ')
        if not name and kind in _SINGLE:
            built = self._build(section, _SINGLE[kind], keys)
            if built is not None:
                self._single[kind] = built
            return
        if not name or kind not in _NAMED:
            self._problem(section, '', 'unknown section', _ALLOWED_SECTIONS)
            return
        self._read_named(section, kind, name, keys)

    def _read_named(
        self,
        section: str,
        kind: str,
        name: str,
        keys: dict[str, str],
    ) -> None:
        if not _NAME.fullmatch(name):
            self._problem(
                section,
                '',
                'invalid name',
                f'allowed is {_NAME.pattern}',
            )
            return
        if 'name' in keys:
            self._unknown_key(section, _NAMED[kind], 'name')
            return
        built = self._build(section, _NAMED[kind], {'name': name, **keys})
        if built is not None:
            self._named[kind][name] = built

    def _build(
        self,
        section: str,
        adapter: TypeAdapter[_Section],
        keys: dict[str, str],
    ) -> _Section | None:
        try:
            return adapter.validate_python(keys)
        except ValidationError as error:
            for detail in error.errors(include_url=False):
                self._explain(section, adapter, dict(detail), keys)
        return None

    def _explain(
        self,
        section: str,
        adapter: TypeAdapter[Any],
        detail: dict[str, Any],
        keys: dict[str, str],
    ) -> None:
        key = str(detail['loc'][0])
        if detail['type'] == 'unexpected_keyword_argument':
            self._unknown_key(section, adapter, key)
            return
        if key not in keys:
            self._problem(section, key, 'missing', 'the key is required')
            return
        self._problem(
            section,
            key,
            _shown(keys[key]),
            str(detail['msg']),
        )

    def _unknown_key(
        self,
        section: str,
        adapter: TypeAdapter[Any],
        key: str,
    ) -> None:
        known = adapter.json_schema()['properties']
        allowed = ', '.join(name for name in known if name != 'name')
        self._problem(section, key, 'unknown key', f'allowed are {allowed}')

    def _check(self, bundle: Bundle) -> None:
        if bundle.version <= bundle.follows:
            self._problem(
                'bundle',
                'version',
                str(bundle.version),
                f'must be above follows, which is {bundle.follows}',
            )
        self._check_routes(bundle)
        self._check_callers(bundle)
        self._unique('route', 'prefix', bundle.routes.values(), _prefix)
        self._unique('caller', 'token_sha256', bundle.callers.values(), _token)

    def _check_routes(self, bundle: Bundle) -> None:
        for route in bundle.routes.values():
            if route.service not in bundle.services:
                self._problem(
                    f'route {route.name}',
                    'service',
                    _shown(route.service),
                    'must be the name of a [service NAME] section',
                )

    def _check_callers(self, bundle: Bundle) -> None:
        for caller in bundle.callers.values():
            section = f'caller {caller.name}'
            for route in sorted(caller.routes - bundle.routes.keys()):
                self._problem(
                    section,
                    'routes',
                    _shown(route),
                    'must be names of [route NAME] sections',
                )
            if caller.team is not None and caller.team not in bundle.teams:
                self._problem(
                    section,
                    'team',
                    _shown(caller.team),
                    'must be the name of a [team NAME] section',
                )
            if bool(caller.token_sha256) == (caller.name == ANONYMOUS):
                self._problem(
                    section,
                    'token_sha256',
                    _shown(caller.token_sha256),
                    f'required for all callers except {ANONYMOUS}',
                )

    def _unique(
        self,
        kind: str,
        key: str,
        owners: Iterable[_Section],
        keyed: Callable[[_Section], tuple[str, str]],
    ) -> None:
        seen: dict[str, str] = {}
        for owner in owners:
            name, unique = keyed(owner)
            if unique and unique in seen:
                self._problem(
                    f'{kind} {name}',
                    key,
                    _shown(unique),
                    f'already used by [{kind} {seen[unique]}]',
                )
            seen.setdefault(unique, name)

    def _problem(self, section: str, key: str, found: str, rule: str) -> None:
        place = f'{self._source}: [{section}]'
        if key:
            place = f'{place} {key}'
        self.problems.append(f'{place}: {found}: {rule}')


def _prefix(route: Route) -> tuple[str, str]:
    return route.name, route.prefix


def _token(caller: Caller) -> tuple[str, str]:
    return caller.name, caller.token_sha256


def _shown(found: str) -> str:
    return repr(found[:_VALUE_SHOWN])
