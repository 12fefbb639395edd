"""Parses and checks bundle texts, the signed configuration of the fleet.

Functions whose names end in ``_steps`` return ``Steps``: they do their work
in parts, so that a daemon can handle requests between them.
"""

import math
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

from .accounts.keys import Credentials, KeyDigest
from .effects import HEALTH_PATH
from .ids import BundleVersion, CallerName, DataCentre, RouteName, ServiceName
from .messages import Priority

if TYPE_CHECKING:
    from .routes import RouteTable

TeamName = NewType('TeamName', str)

#: Name of the caller account that requests without a token use.
ANONYMOUS: Final = CallerName('anonymous')

#: Defaults of optional keys of the bundle text.
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
#: Maximum attempts of an idempotent request, the first one included.
ATTEMPT_LIMIT: Final = 3

#: Parsed sections kept in the cache. Holds a bundle of 18,000 callers and
#: 2,000 routes, so that a daemon parses only the sections that changed.
SECTION_CACHE_SIZE: Final = 24_000
#: Above this limit versions could no longer be incremented safely.
VERSION_LIMIT: Final = 10**15
#: A message between daemons holds at most 8 MiB; the difference is left for
#: its other fields.
MESSAGE_LIMIT_BYTES: Final = 7 * 1024 * 1024

_NAME: Final = re.compile('[a-z0-9][a-z0-9_.-]{0,63}')
_METHOD: Final = re.compile('[A-Z]{1,20}')
_HEADER: Final = re.compile(
    r'^\[([^\]\r\n]*)\][ \t]*(?:\r?\n|\Z)',
    re.MULTILINE,
)
_SHOWN_CHARACTERS: Final = 60

#: Estimated processor time of one step and of the parts of parsing, in
#: microseconds; a step ends when the sum of its parts reaches ``STEP_US``.
STEP_US: Final = 500
_CACHED_SECTION_US: Final = 2
_NEW_SECTION_US: Final = 80
_CHECK_US: Final = 2
_SPLIT_HEADER_US: Final = 1
_Owner = TypeVar('_Owner')


def _parse_list(raw: object) -> object:
    """Split a comma-separated value; other types pass unchanged."""
    return _split_list(raw) if isinstance(raw, str) else raw


@lru_cache(maxsize=1024)
def _split_list(raw: str) -> frozenset[str]:
    # The cache lets callers with the same list share one set, to save memory.
    return frozenset(word.strip() for word in raw.split(',') if word.strip())


def _parse_methods(raw: object) -> object:
    words = _parse_list(raw)
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
_Rate = Annotated[float, Field(ge=0, le=10_000, allow_inf_nan=False)]
_AllotmentRate = Annotated[float, Field(ge=0, le=1e9, allow_inf_nan=False)]
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

    ``floor_pct`` is the percentage of all slots of the service that must
    stay usable; below it sick upstreams are used too. ``false_alarm`` and
    ``miss`` are the error probabilities of the sequential test in the
    failure detector. With ``trials_count`` upstreams on probation count
    towards the floor, and sick ones get requests only when no other is left.
    More distant upstreams get requests once the nearest hold ``spill_pct``
    of their slots. With ``movable`` interactive requests are offered to
    other upstreams before they are queued; with ``preempts`` they interrupt
    internal queries that run. A second attempt of an idempotent request
    starts once the first has lasted ``hedge_pct`` of its expected time. With
    ``fair`` the accounts of callers get equal shares of the slots. Before a
    request is queued, ``free_slot_tries`` upstreams of the region of its
    ingress are tried for a free slot. With ``overflow`` fewer are tried while
    nearly all refuse, and then upstreams of other regions. With ``calls_wait``
    requests that other upstreams make while they run one may wait until their
    deadline instead of the target latency. With ``time_shares`` the share of
    less urgent classes is one of slot time instead of requests. With
    ``hedge_extra_pct`` above 0, second attempts follow the observed times of
    their route, and at most that many for each 100 requests are made.
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
    fair: bool = True
    free_slot_tries: Annotated[int, Field(ge=0, le=16)] = 0
    overflow: bool = False
    calls_wait: bool = False
    time_shares: bool = False
    hedge_extra_pct: Annotated[
        float, Field(ge=0, le=100, allow_inf_nan=False)
    ] = 0


@dataclass(frozen=True, slots=True)
class WeightedService:
    """A service that receives a weighted part of the requests of a route."""

    service: ServiceName
    weight: Annotated[float, Field(ge=0, allow_inf_nan=False)]


def _parse_split(raw: object) -> object:
    """Parse ``name weight, name weight``; other types pass unchanged."""
    if not isinstance(raw, str):
        return raw
    words = [part.split() for part in raw.split(',') if part.strip()]
    if any(len(pair) != 2 for pair in words):
        raise ValueError('must be pairs of a service and its weight')
    shares = tuple(
        WeightedService(ServiceName(name), float(part)) for name, part in words
    )
    if not all(0 <= share.weight < math.inf for share in shares):
        raise ValueError('must have finite weights from 0 on')
    if shares and not any(share.weight for share in shares):
        raise ValueError('must have a weight above 0')
    return shares


_Split = Annotated[tuple[WeightedService, ...], BeforeValidator(_parse_split)]


@with_config(extra='forbid')
@dataclass(frozen=True, slots=True)
class Route:
    """Rule for the requests with one path prefix.

    They are served by ``service``, or by one of the services in ``split``,
    selected by weight. Without ``host`` the route matches every virtual
    host, without ``methods`` every method. ``echo_header`` names a header of
    the request that a correct response repeats; a response without it is
    discarded as wrong. ``attempt_limit`` bounds the upstreams that may run a
    request. ``target_ms`` is the response time that the caller expects; in an
    overload, requests that exceed it wait until the other requests of their
    priority have run. Requests of a ``public`` route need no API key.
    """

    name: RouteName
    service: ServiceName
    prefix: _Prefix
    methods: Annotated[
        frozenset[bytes],
        BeforeValidator(_parse_methods),
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
    public: bool = False


@with_config(extra='forbid')
@dataclass(frozen=True, slots=True)
class Caller:
    """A caller account; ``token_sha256`` is empty only for ``anonymous``.

    With ``priority_first`` its priority replaces that of the routes; otherwise
    the less urgent of the two counts. All daemons together admit ``rate_per_s``
    requests of it a second, and ``burst`` more after idle time; a rate of 0 is
    no limit.
    """

    name: CallerName
    token_sha256: _Token = ''
    priority: Priority = Priority.routine
    max_in_flight: _Count = CALLER_IN_FLIGHT
    routes: Annotated[frozenset[RouteName], BeforeValidator(_parse_list)] = (
        frozenset()
    )
    team: Annotated[TeamName | None, BeforeValidator(_none_if_empty)] = None
    priority_first: bool = False
    rate_per_s: _AllotmentRate = 0
    burst: _AllotmentRate = 0


@with_config(extra='forbid')
@dataclass(frozen=True, slots=True)
class Team:
    """Callers that share a limit of requests in flight at each ingress."""

    name: TeamName
    max_in_flight: _Count = TEAM_IN_FLIGHT


@with_config(extra='forbid')
@dataclass(frozen=True, slots=True)
class Stage:
    """Daemons that put the bundle into force while it is rolled out in stages.

    A daemon is selected if it is within ``share_pct`` percent of all daemons
    or in a listed data centre.
    """

    share_pct: _Percent = 0
    data_centres: Annotated[
        frozenset[DataCentre],
        BeforeValidator(_parse_list),
    ] = frozenset()


@dataclass(frozen=True, slots=True)
class Bundle:
    """One version of the configuration of the fleet.

    ``follows`` is the version it replaces, 0 for the first bundle. Without
    a ``stage`` every daemon puts the bundle into force.
    ``region_link_kbit_s`` is the bandwidth that all requests placed in the
    other region and their responses may use; 0 forbids such requests. Each
    service may get retries of ``retries_pct`` of its requests and
    ``retries_per_s`` more a second. With ``credentials`` by API key,
    ``api_keys`` names the account of each key; without any key all requests
    are anonymous. Upstreams get ``origin`` as the name of the caller, and the
    account apart from it; if it is empty, they get the account as the caller.
    """

    version: BundleVersion
    follows: BundleVersion
    retries_pct: int = RETRIES_PCT
    retries_per_s: float = 0
    region_link_kbit_s: int = REGION_LINK_KBIT_S
    services: Mapping[ServiceName, Service] = field(default_factory=dict)
    routes: Mapping[RouteName, Route] = field(default_factory=dict)
    callers: Mapping[CallerName, Caller] = field(default_factory=dict)
    teams: Mapping[TeamName, Team] = field(default_factory=dict)
    stage: Stage | None = None
    credentials: Credentials = Credentials.bearer
    api_keys: Mapping[KeyDigest, CallerName] = field(default_factory=dict)
    origin: str = ''
    #: Index of routes and callers; absent if it has not been built yet.
    table: 'RouteTable | None' = field(default=None, compare=False, repr=False)


#: Work divided into steps. Each step yields its estimated processor time in
#: microseconds, so that the event loop can handle other events in between.
_Result = TypeVar('_Result')
Steps: TypeAlias = Generator[int, None, _Result]


def finish(steps: Steps[_Result]) -> _Result:
    """Run all steps without interruption and return the result."""
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
    retries_per_s: _Rate = 0
    region_link_kbit_s: _LinkRate = REGION_LINK_KBIT_S


class BundleError(Exception):
    """The bundle text is invalid; ``problems`` lists every fault."""

    def __init__(self, problems: Iterable[str]) -> None:
        """Store the problems, one line of text each."""
        self.problems = tuple(problems)
        super().__init__('\n'.join(self.problems))


_SectionTypes: TypeAlias = Mapping[str, type[Any]]
_UNNAMED_SECTIONS: Final[_SectionTypes] = MappingProxyType(
    {'bundle': _Head, 'rollout': Stage}
)
_NAMED_SECTIONS: Final[_SectionTypes] = MappingProxyType(
    {'service': Service, 'route': Route, 'caller': Caller, 'team': Team}
)


@cache
def _adapter(section_type: type[Any]) -> TypeAdapter[Any]:
    """Return the validator of a section type, built on first use."""
    return TypeAdapter(section_type)


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
    """The object that a section describes, or the problems found in it."""

    kind: str
    name: str
    built: Any = None
    problems: tuple[_Problem, ...] = ()


def parse(text: str, source: str) -> Bundle:
    """Parse and check a bundle text; ``source`` names it in problems.

    Sections that are unchanged since recent texts come from a cache. Raises
    ``BundleError``, which lists every problem.
    """
    return finish(parse_steps(finish(split_steps(text)), source))


def split_steps(text: str) -> Steps[tuple[str, ...]]:
    """Return the chunks of a text, split before each section header.

    The first chunk is the text before all sections, often empty. Joining the
    chunks gives the text again.
    """
    chunks: list[str] = []
    start = 0
    for number, match in enumerate(_HEADER.finditer(text)):
        chunks.append(text[start : match.start()])
        start = match.start()
        if number % STEP_US == 0:
            yield _SPLIT_HEADER_US * STEP_US
    chunks.append(text[start:])
    return tuple(chunks)


def parse_steps(chunks: Sequence[str], source: str) -> Steps[Bundle]:
    """Parse and check the chunks of a text in steps; see ``parse``."""
    reader = _BundleBuilder()
    yield from reader.read_sections_steps(chunks)
    bundle = reader.bundle()
    if bundle is not None:
        yield from reader.check_steps(bundle)
    if bundle is None or reader.problems:
        raise BundleError(
            _problem_line(problem, source) for problem in reader.problems
        )
    return bundle


def clear_section_cache() -> None:
    """Clear the cache of parsed sections."""
    _section.cache_clear()


def key_slot_problems(bundle: Bundle, before: Bundle) -> tuple[str, ...]:
    """Return a problem for each service that changes its ``key_slots``.

    With another number of slots a key maps to another owner, which has no
    record of the key and could run its write again.
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
    location = f'{source}: [{problem.section}] {problem.key}'.rstrip()
    return f'{location}: {problem.found}: {problem.rule}'


@lru_cache(maxsize=SECTION_CACHE_SIZE)
def _section(chunk: str) -> _Section:
    match = _HEADER.match(chunk)
    if match is None:
        raise ValueError('the chunk does not start with a section header')
    header = match[1]
    body = chunk[match.end() :].replace('\r\n', '\n')
    kind, _, name = header.partition(' ')
    if (kind in _UNNAMED_SECTIONS) == bool(name) or not (
        kind in _UNNAMED_SECTIONS or kind in _NAMED_SECTIONS
    ):
        return _invalid_section(
            header, '', 'unknown section', _ALLOWED_SECTIONS
        )
    if name and not _NAME.fullmatch(name):
        rule = f'allowed is {_NAME.pattern}'
        return _invalid_section(header, '', 'invalid name', rule)
    try:
        keys = _parse_keys(body)
    except IniError as error:
        return _invalid_section(
            header, '', 'invalid line', ' '.join(str(error).split())
        )
    section_type: type = (
        _NAMED_SECTIONS[kind] if name else _UNNAMED_SECTIONS[kind]
    )
    adapter = _adapter(section_type)
    if name and 'name' in keys:
        return _invalid_section(
            header, 'name', 'unknown key', _allowed_keys(adapter)
        )
    given = {'name': name, **keys} if name else keys
    try:
        built = adapter.validate_python(given)
    except ValidationError as error:
        problems = [
            _validation_problem(header, adapter, dict(detail), keys)
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


#: Shared by all sections. A parser contains reference cycles; one parser for
#: each of 20,000 sections used 90 MB until the next garbage collection.
_INI: Final = _parser()


def _parse_keys(body: str) -> dict[str, str]:
    _INI.clear()
    _INI.read_string(f'[section]\n{body}', 'section')
    return dict(_INI.items('section'))


def _validation_problem(
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
    return _Problem(header, key, _quoted(keys[key]), str(detail['msg']))


def _allowed_keys(adapter: TypeAdapter[Any]) -> str:
    known = adapter.json_schema()['properties']
    return 'allowed are {0}'.format(
        ', '.join(name for name in known if name != 'name'),
    )


def _invalid_section(header: str, key: str, found: str, rule: str) -> _Section:
    return _Section('', '', problems=(_Problem(header, key, found, rule),))


class _BundleBuilder:
    """Builds the objects of one text and collects its problems."""

    def __init__(self) -> None:
        self.problems: list[_Problem] = []
        self._headers: set[str] = set()
        self._single: dict[str, Any] = {}
        self._named: dict[str, Any] = {kind: {} for kind in _NAMED_SECTIONS}

    def read_sections_steps(self, chunks: Sequence[str]) -> Steps[None]:
        """Parse all chunks."""
        self._read_preamble(chunks[0])
        spent = 0
        for chunk in chunks[1:]:
            known = _section.cache_info().misses
            self._read_section(chunk)
            is_new = _section.cache_info().misses > known
            spent += _NEW_SECTION_US if is_new else _CACHED_SECTION_US
            if spent >= STEP_US:
                yield spent
                spent = 0

    def bundle(self) -> Bundle | None:
        """Return the bundle, not yet checked; none without [bundle] section."""
        if 'bundle' not in self._single:
            if 'bundle' not in self._headers:
                self._add_problem('bundle', '', 'missing', 'required section')
            return None
        head = self._single['bundle']
        return Bundle(
            version=head.version,
            follows=head.follows,
            retries_pct=head.retries_pct,
            retries_per_s=head.retries_per_s,
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
                self._add_problem('', '', _quoted(line), 'must be in a section')

    def _read_section(self, chunk: str) -> None:
        header = chunk[1 : chunk.index(']')]
        if header in self._headers:
            self._add_problem(
                header, '', 'duplicate', 'one section for each name'
            )
        self._headers.add(header)
        section = _section(chunk)
        self.problems.extend(section.problems)
        if section.built is None:
            return
        if section.name:
            self._named[section.kind][section.name] = section.built
        else:
            self._single[section.kind] = section.built

    def check_steps(self, bundle: Bundle) -> Steps[None]:
        """Check the rules that concern several sections."""
        if bundle.version <= bundle.follows:
            self._add_problem(
                'bundle',
                'version',
                str(bundle.version),
                f'must be above follows, which is {bundle.follows}',
            )
        self._check_routes(bundle)
        yield len(bundle.routes) // 2
        yield from self._check_callers_steps(bundle)
        routes, callers = bundle.routes.values(), bundle.callers.values()
        yield from self._check_unique_steps(
            'route', 'prefix', routes, _route_prefix
        )
        yield from self._check_unique_steps(
            'caller', 'token_sha256', callers, _caller_token
        )

    def _check_routes(self, bundle: Bundle) -> None:
        for route in bundle.routes.values():
            named = [route.service, *(share.service for share in route.split)]
            for service in named:
                if service in bundle.services:
                    continue
                self._add_problem(
                    f'route {route.name}',
                    'service' if service == route.service else 'split',
                    _quoted(service),
                    'must be the name of a [service NAME] section',
                )

    def _check_callers_steps(self, bundle: Bundle) -> Steps[None]:
        # Subtracting a key view would iterate over all routes for each caller.
        route_names = frozenset(bundle.routes)
        for number, caller in enumerate(bundle.callers.values()):
            self._check_caller(caller, bundle, route_names)
            if number % (STEP_US // _CHECK_US) == 0:
                yield STEP_US

    def _check_caller(
        self, caller: Caller, bundle: Bundle, route_names: frozenset[RouteName]
    ) -> None:
        section = f'caller {caller.name}'
        for route in sorted(caller.routes - route_names):
            self._add_problem(
                section,
                'routes',
                _quoted(route),
                'must be names of [route NAME] sections',
            )
        if caller.team is not None and caller.team not in bundle.teams:
            self._add_problem(
                section,
                'team',
                _quoted(caller.team),
                'must be the name of a [team NAME] section',
            )
        if bool(caller.token_sha256) == (caller.name == ANONYMOUS):
            self._add_problem(
                section,
                'token_sha256',
                _quoted(caller.token_sha256),
                f'required for all callers except {ANONYMOUS}',
            )

    def _check_unique_steps(
        self,
        kind: str,
        key: str,
        sections: Iterable[_Owner],
        key_of: Callable[[_Owner], tuple[str, str]],
    ) -> Steps[None]:
        seen: dict[str, str] = {}
        for number, section in enumerate(sections):
            if number % (STEP_US // _CHECK_US) == 0:
                yield STEP_US
            name, unique = key_of(section)
            if unique and unique in seen:
                self._add_problem(
                    f'{kind} {name}',
                    key,
                    _quoted(unique),
                    f'already used by [{kind} {seen[unique]}]',
                )
            seen.setdefault(unique, name)
        yield STEP_US

    def _add_problem(
        self, section: str, key: str, found: str, rule: str
    ) -> None:
        self.problems.append(_Problem(section, key, found, rule))


def _route_prefix(route: Route) -> tuple[str, str]:
    return route.name, route.prefix


def _caller_token(caller: Caller) -> tuple[str, str]:
    return caller.name, caller.token_sha256


def _quoted(found: str) -> str:
    return repr(found[:_SHOWN_CHARACTERS])
