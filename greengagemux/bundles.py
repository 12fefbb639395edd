"""Bundle text: the signed configuration of the fleet, parsed and checked."""

import re
from collections.abc import Callable, Generator, Iterable, Mapping, Sequence
from configparser import ConfigParser
from configparser import Error as IniError
from dataclasses import dataclass, field
from functools import cache, lru_cache
from types import MappingProxyType
from typing import (
    TYPE_CHECKING,
    Annotated,
    Any,
    Final,
    NewType,
    TypeAlias,
    TypeVar,
)

from pydantic import (
    AfterValidator,
    BeforeValidator,
    Field,
    StringConstraints,
    TypeAdapter,
    ValidationError,
    with_config,
)

from .effects import HEALTH_PATH
from .ids import BundleVersion, CallerName, DataCentre, RouteName, ServiceName
from .messages import Priority

if TYPE_CHECKING:
    from .routes import RouteTable

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
SPILL_PCT: Final = 100
HEDGE_PCT: Final = 800
DEADLINE_MS: Final = 2_000
BODY_LIMIT_BYTES: Final = 64 * 1024
ANSWER_LIMIT_BYTES: Final = 1024 * 1024
CALLER_IN_FLIGHT: Final = 50
TEAM_IN_FLIGHT: Final = 200
#: Attempts of an idempotent request, the first one included.
ATTEMPT_LIMIT: Final = 3

#: Sections kept by the parser: all of a bundle of 18,000 callers and 2,000
#: routes, so that a change of one section costs little time in a daemon.
SECTIONS_KEPT: Final = 24_000
#: Above this the versions of a chain could no longer be counted up safely.
VERSION_LIMIT: Final = 10**15
#: A message between daemons holds 8 MiB; the rest is for its other fields.
MESSAGE_LIMIT_BYTES: Final = 7 * 1024 * 1024

_NAME: Final = re.compile('[a-z0-9][a-z0-9_.-]{0,63}')
_METHOD: Final = re.compile('[A-Z]{1,20}')
_HEADER: Final = re.compile(
    r'^\[([^\]\r\n]*)\][ \t]*(?:\r?\n|\Z)',
    re.MULTILINE,
)
_VALUE_SHOWN: Final = 60

#: Estimated processor time of the parts of parsing, in microseconds; a step
#: ends when the sum of its parts reaches ``STEP_US``.
STEP_US: Final = 500
_CACHED_US: Final = 2
_PARSED_US: Final = 80
_CHECKED_US: Final = 2
_SPLIT_US: Final = 1
_Owner = TypeVar('_Owner')


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
    With ``trials_count`` upstreams on probation count towards the floor, and
    sick ones get work only when no other is left.
    Farther upstreams get work once the nearest hold ``spill_pct`` of their
    slots; ``movable`` requests of people are offered elsewhere before they
    are queued, and with ``preempts`` interrupt internal reads that run. A
    second attempt of an idempotent request starts once the
    first has lasted ``hedge_pct`` of its expected time.
    """

    name: ServiceName
    floor_pct: _Percent = FLOOR_PCT
    false_alarm: _ErrorRate = FALSE_ALARM
    miss: _ErrorRate = MISS
    queue_limit: Annotated[int, Field(ge=0, le=100_000)] = QUEUE_LIMIT
    queue_limit_bytes: _QueueBytes = QUEUE_LIMIT_BYTES
    key_slots: Annotated[int, Field(ge=1, le=4096)] = KEY_SLOTS
    health_path: _Prefix = HEALTH_PATH
    trials_count: bool = False
    spill_pct: Annotated[int, Field(ge=100, le=1000)] = SPILL_PCT
    movable: bool = True
    preempts: bool = True
    hedge_pct: Annotated[int, Field(ge=100, le=10_000)] = HEDGE_PCT


@dataclass(frozen=True, slots=True)
class Share:
    """A service that gets a part of the requests of a route."""

    service: ServiceName
    weight: Annotated[float, Field(ge=0, allow_inf_nan=False)]


def _shares(raw: object) -> object:
    """Parse ``name weight, name weight``; other types pass unchanged."""
    if not isinstance(raw, str):
        return raw
    words = [part.split() for part in raw.split(',') if part.strip()]
    if any(len(pair) != 2 for pair in words):
        raise ValueError('must be pairs of a service and its weight')
    shares = tuple(
        Share(ServiceName(name), float(part)) for name, part in words
    )
    if sum(share.weight for share in shares) <= 0:
        raise ValueError('must have a weight above 0')
    return shares


_Split = Annotated[tuple[Share, ...], BeforeValidator(_shares)]


@with_config(extra='forbid')
@dataclass(frozen=True, slots=True)
class Route:
    """Requests with one path prefix.

    They are served by ``service``, or by one of those in ``split`` by
    weight. Without ``host`` the route holds for every virtual host, without
    ``methods`` for every method. ``echo_header`` names a header of the
    request that a right answer repeats; an answer that does not is discarded
    as wrong. ``attempt_limit`` bounds the upstreams that may run a request.
    An answer within ``target_ms`` has its full value; in an overload, requests
    that miss it wait until the others of their class have run.
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
    attempt_limit: Annotated[int, Field(ge=1, le=10)] = ATTEMPT_LIMIT
    host: Annotated[str, Field(max_length=255)] = ''
    split: _Split = ()
    target_ms: Annotated[int, Field(ge=0, le=600_000)] = 0


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
    #: Index of routes and callers, if it was built with the bundle.
    table: 'RouteTable | None' = field(default=None, compare=False, repr=False)


#: Work in steps. Each step yields its estimated processor time in
#: microseconds, so that a caller can do other work between steps.
_Result = TypeVar('_Result')
Steps: TypeAlias = Generator[int, None, _Result]


def finish(steps: Steps[_Result]) -> _Result:
    """Do all steps at once and return the result."""
    while True:
        try:
            next(steps)
        except StopIteration as stop:
            result: _Result = stop.value
            return result


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


_Kinds: TypeAlias = Mapping[str, type[Any]]
_SINGLE: Final[_Kinds] = MappingProxyType({'bundle': _Head, 'rollout': Stage})
_NAMED: Final[_Kinds] = MappingProxyType(
    {'service': Service, 'route': Route, 'caller': Caller, 'team': Team}
)


@cache
def _adapter(described: type[Any]) -> TypeAdapter[Any]:
    """Build the checks of a section only when a text is parsed."""
    return TypeAdapter(described)


_ALLOWED_SECTIONS: Final = (
    'allowed are [bundle], [rollout], [service NAME], [route NAME], '
    '[caller NAME] and [team NAME]'
)


@dataclass(frozen=True, slots=True)
class _Problem:
    section: str
    key: str
    found: str
    rule: str


@dataclass(frozen=True, slots=True)
class _Section:
    """The object that a section describes, or its problems."""

    kind: str
    name: str
    built: Any = None
    problems: tuple[_Problem, ...] = ()


def parse(text: str, source: str) -> Bundle:
    """Parse and check a bundle text; ``source`` names it in problems.

    Sections that are the same as in recent texts are not parsed again.
    Raises ``BundleError`` that lists every problem.
    """
    return finish(parsing(finish(splitting(text)), source))


def splitting(text: str) -> Steps[tuple[str, ...]]:
    """Split a text before each section header.

    The first chunk is what precedes all sections, often empty. The chunks
    joined are the text.
    """
    chunks: list[str] = []
    start = 0
    for place, match in enumerate(_HEADER.finditer(text)):
        chunks.append(text[start : match.start()])
        start = match.start()
        if place % STEP_US == 0:
            yield _SPLIT_US * STEP_US
    chunks.append(text[start:])
    return tuple(chunks)


def parsing(chunks: Sequence[str], source: str) -> Steps[Bundle]:
    """Parse and check the chunks of a text; see ``parse``."""
    reader = _Reader()
    yield from reader.reading(chunks)
    bundle = reader.bundle()
    if bundle is not None:
        yield from reader.checking(bundle)
    if bundle is None or reader.problems:
        raise BundleError(
            _problem_line(problem, source) for problem in reader.problems
        )
    return bundle


def forget_sections() -> None:
    """Drop the parsed sections of earlier texts."""
    _section.cache_clear()


def key_slot_problems(bundle: Bundle, before: Bundle) -> tuple[str, ...]:
    """Name the services whose ``key_slots`` differ from the version before.

    With another number of slots a key moves to another home, which has no
    record of it and could run its write again.
    """
    changed = (
        (service, before.services.get(service.name))
        for service in bundle.services.values()
    )
    return tuple(
        f'[service {service.name}] key_slots: {service.key_slots}: '
        f'must stay {old.key_slots} as in version {before.version}'
        for service, old in changed
        if old is not None and old.key_slots != service.key_slots
    )


def _problem_line(problem: _Problem, source: str) -> str:
    place = f'{source}: [{problem.section}] {problem.key}'.rstrip()
    return f'{place}: {problem.found}: {problem.rule}'


@lru_cache(maxsize=SECTIONS_KEPT)
def _section(chunk: str) -> _Section:
    match = _HEADER.match(chunk)
    if match is None:
        raise ValueError('a section starts with its header')
    header = match[1]
    body = chunk[match.end() :].replace('\r\n', '\n')
    kind, _, name = header.partition(' ')
    if (kind in _SINGLE) == bool(name) or not (
        kind in _SINGLE or kind in _NAMED
    ):
        return _faulty(header, '', 'unknown section', _ALLOWED_SECTIONS)
    if name and not _NAME.fullmatch(name):
        rule = f'allowed is {_NAME.pattern}'
        return _faulty(header, '', 'invalid name', rule)
    try:
        keys = _keys(body)
    except IniError as error:
        return _faulty(header, '', 'invalid line', ' '.join(str(error).split()))
    described: type = _NAMED[kind] if name else _SINGLE[kind]
    adapter = _adapter(described)
    if name and 'name' in keys:
        return _faulty(header, 'name', 'unknown key', _allowed_keys(adapter))
    given = {'name': name, **keys} if name else keys
    try:
        built = adapter.validate_python(given)
    except ValidationError as error:
        problems = [
            _explained(header, adapter, dict(detail), keys)
            for detail in error.errors(include_url=False)
        ]
        return _Section(kind, name, problems=tuple(problems))
    return _Section(kind, name, built)


def _parser() -> ConfigParser:
    ini = ConfigParser(
        delimiters=('=',),
        comment_prefixes=('#', ';'),
        default_section='\0',
        empty_lines_in_values=False,
        interpolation=None,
    )
    ini.optionxform = str  # type: ignore[assignment, method-assign]
    return ini


#: One parser for all sections. Parsers hold reference cycles, and those of
#: 20,000 sections took 90 MB until the next garbage collection.
_INI: Final = _parser()


def _keys(body: str) -> dict[str, str]:
    _INI.clear()
    _INI.read_string(f'[section]\n{body}', 'section')
    return dict(_INI.items('section'))


def _explained(
    header: str,
    adapter: TypeAdapter[Any],
    detail: dict[str, Any],
    keys: dict[str, str],
) -> _Problem:
    key = str(detail['loc'][0])
    if detail['type'] == 'unexpected_keyword_argument':
        return _Problem(header, key, 'unknown key', _allowed_keys(adapter))
    if key not in keys:
        return _Problem(header, key, 'missing', 'the key is required')
    return _Problem(header, key, _shown(keys[key]), str(detail['msg']))


def _allowed_keys(adapter: TypeAdapter[Any]) -> str:
    known = adapter.json_schema()['properties']
    return 'allowed are {0}'.format(
        ', '.join(name for name in known if name != 'name'),
    )


def _faulty(header: str, key: str, found: str, rule: str) -> _Section:
    return _Section('', '', problems=(_Problem(header, key, found, rule),))


class _Reader:
    """Builds the objects of one text and collects its problems."""

    def __init__(self) -> None:
        self.problems: list[_Problem] = []
        self._headers: set[str] = set()
        self._single: dict[str, Any] = {}
        self._named: dict[str, Any] = {kind: {} for kind in _NAMED}

    def reading(self, chunks: Sequence[str]) -> Steps[None]:
        """Read all sections."""
        self._read_preamble(chunks[0])
        spent = 0
        for chunk in chunks[1:]:
            known = _section.cache_info().misses
            self._read_section(chunk)
            is_new = _section.cache_info().misses > known
            spent += _PARSED_US if is_new else _CACHED_US
            if spent >= STEP_US:
                yield spent
                spent = 0

    def bundle(self) -> Bundle | None:
        """Return the bundle, not checked, or nothing when it has no head."""
        if 'bundle' not in self._single:
            if 'bundle' not in self._headers:
                self._problem('bundle', '', 'missing', 'required section')
            return None
        head = self._single['bundle']
        return Bundle(
            version=head.version,
            follows=head.follows,
            retries_pct=head.retries_pct,
            services=self._named['service'],
            routes=self._named['route'],
            callers=self._named['caller'],
            teams=self._named['team'],
            region_link_kbit_s=head.region_link_kbit_s,
            stage=self._single.get('rollout'),
        )

    def _read_preamble(self, preamble: str) -> None:
        for line in preamble.splitlines():
            if line.strip() and not line.lstrip().startswith(('#', ';')):
                self._problem('', '', _shown(line), 'must be in a section')

    def _read_section(self, chunk: str) -> None:
        header = chunk[1 : chunk.index(']')]
        if header in self._headers:
            self._problem(header, '', 'duplicate', 'one section for each name')
        self._headers.add(header)
        section = _section(chunk)
        self.problems.extend(section.problems)
        if section.built is None:
            return
        if section.name:
            self._named[section.kind][section.name] = section.built
        else:
            self._single[section.kind] = section.built

    def checking(self, bundle: Bundle) -> Steps[None]:
        """Check what concerns several sections."""
        if bundle.version <= bundle.follows:
            self._problem(
                'bundle',
                'version',
                str(bundle.version),
                f'must be above follows, which is {bundle.follows}',
            )
        self._check_routes(bundle)
        yield len(bundle.routes) // 2
        yield from self._check_callers(bundle)
        routes, callers = bundle.routes.values(), bundle.callers.values()
        yield from self._unique('route', 'prefix', routes, _prefix)
        yield from self._unique('caller', 'token_sha256', callers, _token)

    def _check_routes(self, bundle: Bundle) -> None:
        for route in bundle.routes.values():
            named = [route.service, *(share.service for share in route.split)]
            for service in named:
                if service in bundle.services:
                    continue
                self._problem(
                    f'route {route.name}',
                    'service' if service == route.service else 'split',
                    _shown(service),
                    'must be the name of a [service NAME] section',
                )

    def _check_callers(self, bundle: Bundle) -> Steps[None]:
        # The difference from a key view would visit all routes.
        route_names = frozenset(bundle.routes)
        for place, caller in enumerate(bundle.callers.values()):
            self._check_caller(caller, bundle, route_names)
            if place % (STEP_US // _CHECKED_US) == 0:
                yield STEP_US

    def _check_caller(
        self, caller: Caller, bundle: Bundle, route_names: frozenset[RouteName]
    ) -> None:
        section = f'caller {caller.name}'
        for route in sorted(caller.routes - route_names):
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
        owners: Iterable[_Owner],
        keyed: Callable[[_Owner], tuple[str, str]],
    ) -> Steps[None]:
        seen: dict[str, str] = {}
        for place, owner in enumerate(owners):
            if place % (STEP_US // _CHECKED_US) == 0:
                yield STEP_US
            name, unique = keyed(owner)
            if unique and unique in seen:
                self._problem(
                    f'{kind} {name}',
                    key,
                    _shown(unique),
                    f'already used by [{kind} {seen[unique]}]',
                )
            seen.setdefault(unique, name)
        yield STEP_US

    def _problem(self, section: str, key: str, found: str, rule: str) -> None:
        self.problems.append(_Problem(section, key, found, rule))


def _prefix(route: Route) -> tuple[str, str]:
    return route.name, route.prefix


def _token(caller: Caller) -> tuple[str, str]:
    return caller.name, caller.token_sha256


def _shown(found: str) -> str:
    return repr(found[:_VALUE_SHOWN])
