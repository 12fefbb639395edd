"""Launcher of a fleet with its log store and upstream stand-ins.

The launcher starts processes, which daemons never do. It allocates ports from
a base: the log takes the base itself, daemon ``i`` the three ports from
``base + 100 + 3 i``, upstream ``i`` the port ``base + 500 + i``.
"""

import json
from dataclasses import dataclass, field
from functools import partial
from itertools import chain, cycle, islice
from pathlib import Path
from types import MappingProxyType
from typing import Any
from urllib.error import URLError
from urllib.request import ProxyHandler, Request, build_opener

import msgspec

from .ledgers import LedgerPage
from .processes import ROOT, Processes
from .servers import LOOPBACK, OK

# A proxy in the environment must not receive traffic for loopback.
_opener = build_opener(ProxyHandler({}))

EXAMPLES = ROOT / 'examples'
OPERATOR = 'alice'

_DAEMON_OFFSET = 100
_DAEMON_PORTS = 3
_UPSTREAM_OFFSET = 500
_HTTP_TIMEOUT_S = 3
_READY_LIMIT_MS = 30_000
_COMMAND_LIMIT_S = 30


@dataclass(frozen=True, slots=True)
class Commands:
    """Arguments of the Python interpreter for each command of the daemon.

    Words in braces are replaced by file names, addresses and ids.
    """

    serve: tuple[str, ...] = (
        '-m', 'greengagemux', 'serve', '--settings', '{settings}',
    )  # fmt: skip
    keygen: tuple[str, ...] = (
        '-m', 'greengagemux', 'bundle', 'keygen',
        '--out', '{private}',
    )  # fmt: skip
    sign: tuple[str, ...] = (
        '-m', 'greengagemux', 'bundle', 'sign', '--operator', '{operator}',
        '--key-file', '{private}', '--out', '{signed}', '{bundle}',
    )  # fmt: skip
    publish: tuple[str, ...] = (
        '-m', 'greengagemux', 'bundle', 'publish', '--log', '{log}',
        '{signed}',
    )  # fmt: skip
    upstream: tuple[str, ...] = ('-m', 'greengagemux_standins', 'upstream')
    log: tuple[str, ...] = ('-m', 'greengagemux_standins', 'log')


@dataclass(frozen=True, slots=True)
class Service:
    """A service and the upstreams it has at full size."""

    name: str
    upstreams: int
    median_ms: float


@dataclass(frozen=True, slots=True)
class Deployment:
    """One of the two organisations."""

    name: str
    data_centres: tuple[tuple[str, str], ...]
    services: tuple[Service, ...]
    slots: int

    @property
    def bundle_path(self) -> Path:
        """Bundle text with services, routes and callers."""
        return EXAMPLES / f'{self.name}-bundle.ini'

    @property
    def plan_path(self) -> Path:
        """Load plan with the same callers."""
        return EXAMPLES / f'{self.name}-load.ini'


AGENCY = Deployment(
    name='agency',
    data_centres=(
        ('dakar', 'dakar-rufisque'),
        ('thies', 'thies-nord'),
        ('dakar', 'dakar-pikine'),
        ('thies', 'thies-mbour'),
    ),
    services=(Service('depot-ledger', 23, 20), Service('melt-yard', 8, 40)),
    slots=4,
)
HANBIT = Deployment(
    name='hanbit',
    data_centres=(
        ('gyeonggi', 'gyeonggi-a'),
        ('jeju', 'jeju-a'),
        ('gyeonggi', 'gyeonggi-b'),
        ('jeju', 'jeju-b'),
    ),
    services=(Service('ledger', 23, 15), Service('dispatch', 8, 25)),
    slots=3,
)
DEPLOYMENTS = MappingProxyType({one.name: one for one in (AGENCY, HANBIT)})


@dataclass(frozen=True, slots=True)
class Daemon:
    """A daemon of the fleet."""

    name: str
    region: str
    data_centre: str
    http_port: int

    @property
    def http_address(self) -> str:
        """Address for callers."""
        return f'{LOOPBACK}:{self.http_port}'

    @property
    def peer_address(self) -> str:
        """Address for other daemons."""
        return f'{LOOPBACK}:{self.http_port + 1}'

    @property
    def admin_address(self) -> str:
        """Address for operators and upstreams."""
        return f'{LOOPBACK}:{self.http_port + 2}'


@dataclass(frozen=True, slots=True)
class UpstreamPlace:
    """An upstream stand-in beside a daemon."""

    name: str
    service: Service
    daemon: Daemon
    port: int

    @property
    def address(self) -> str:
        """Address of the stand-in."""
        return f'{LOOPBACK}:{self.port}'


@dataclass(frozen=True, slots=True)
class Layout:
    """All processes of a fleet and their addresses."""

    deployment: Deployment
    daemons: tuple[Daemon, ...]
    upstreams: tuple[UpstreamPlace, ...]
    log_port: int

    @property
    def log_url(self) -> str:
        """Base URL of the log store."""
        return f'http://{LOOPBACK}:{self.log_port}'


def layout(
    deployment: Deployment,
    daemons: int = 4,
    upstreams: int = 8,
    base_port: int = 21_000,
) -> Layout:
    """Return a fleet of the given size.

    Data centres take turns, and so do daemons for the upstreams of each
    service. Raises ``ValueError`` when a service would have no upstream or
    the ports do not suffice.
    """
    _check_size(deployment, daemons, upstreams)
    centres = islice(cycle(deployment.data_centres), daemons)
    placed = tuple(
        Daemon(
            f'{centre}-{number // len(deployment.data_centres) + 1}',
            region,
            centre,
            base_port + _DAEMON_OFFSET + _DAEMON_PORTS * number,
        )
        for number, (region, centre) in enumerate(centres)
    )
    services = _share_out(deployment.services, upstreams)
    return Layout(
        deployment,
        placed,
        tuple(
            UpstreamPlace(
                f'{service.name}-{number + 1}',
                service,
                placed[number % daemons],
                base_port + _UPSTREAM_OFFSET + number,
            )
            for number, service in enumerate(services)
        ),
        base_port,
    )


def _check_size(deployment: Deployment, daemons: int, upstreams: int) -> None:
    most = (_UPSTREAM_OFFSET - _DAEMON_OFFSET) // _DAEMON_PORTS
    if not 1 <= daemons <= most:
        raise ValueError(f'daemons: expected 1 to {most}, not {daemons}')
    least = len(deployment.services)
    if upstreams < least:
        raise ValueError(f'upstreams: expected at least {least}')


def _share_out(
    services: tuple[Service, ...], upstreams: int
) -> tuple[Service, ...]:
    """Return one service for each upstream, in proportion to full size."""
    whole = sum(service.upstreams for service in services)
    shares = [
        max(1, round(upstreams * service.upstreams / whole))
        for service in services
    ]
    shares[0] = upstreams - sum(shares[1:])
    return tuple(
        service
        for service, share in zip(services, shares, strict=True)
        for _ in range(share)
    )


def settings_text(fleet: Layout, daemon: Daemon, public_key: str) -> str:
    """Return the settings of a daemon (design page, section 10)."""
    first_of_centre = {one.data_centre: one for one in reversed(fleet.daemons)}
    seeds = ', '.join(
        seed.peer_address for seed in first_of_centre.values() if seed != daemon
    )
    sections: dict[str, dict[str, object]] = {
        'daemon': {
            'id': daemon.name,
            'data_centre': daemon.data_centre,
            'region': daemon.region,
            'http_address': daemon.http_address,
            'peer_address': daemon.peer_address,
            'admin_address': daemon.admin_address,
            'seeds': seeds,
        },
        'log': {'url': fleet.log_url, 'poll_wait_ms': 2000},
        'operators': {OPERATOR: public_key},
        'logging': {'level': 'info'},
    }
    return '\n'.join(_section(name, keys) for name, keys in sections.items())


def _section(name: str, keys: dict[str, object]) -> str:
    lines = [f'{key} = {given}' for key, given in keys.items()]
    return '\n'.join((f'[{name}]', *lines, ''))


def upstream_arguments(
    fleet: Layout, place: UpstreamPlace, seed: int
) -> tuple[str, ...]:
    """Return the options of an upstream stand-in."""
    options = {
        'name': place.name,
        'service': place.service.name,
        'admin': place.daemon.admin_address,
        'port': place.port,
        'slots': fleet.deployment.slots,
        'median-ms': place.service.median_ms,
        'cold-ms': 2000,
        'seed': seed,
    }
    return tuple(f'--{key}={given}' for key, given in options.items())


@dataclass(eq=False, slots=True)
class Fleet:
    """A fleet that runs; leave the processes to their own context."""

    layout: Layout
    processes: Processes
    run_dir: Path
    commands: Commands = field(default_factory=Commands)
    seed: int = 1

    def start(self) -> None:
        """Start everything and wait until all daemons are ready.

        The bundle is published before daemons start, since a daemon without
        one is not ready. Raises ``LaunchError``.
        """
        self._start_log()
        public_key = self._make_keys()
        self._publish()
        for daemon in self.layout.daemons:
            text = self.settings(daemon, public_key)
            self._path(f'{daemon.name}.ini').write_text(text)
            self.start_daemon(daemon.name)
        for place in self.layout.upstreams:
            self.start_upstream(place.name)
        for started in self.layout.daemons:
            url = f'http://{started.admin_address}/ready'
            self._wait(started.name, url)
        for beside in self.layout.upstreams:
            self._wait(beside.name, f'http://{beside.address}/_fault')

    def start_daemon(self, name: str) -> int:
        """Start a daemon, also after it was killed."""
        return self.processes.start(name, self.daemon_arguments(name))

    def start_upstream(self, name: str) -> int:
        """Start an upstream stand-in, also after it crashed."""
        return self.processes.start(name, self.upstream_arguments(name))

    def start_log(self) -> int:
        """Start the log, also after it was killed."""
        return self.processes.start('log', self.log_arguments())

    def settings(self, daemon: Daemon, public_key: str) -> str:
        """Return the settings of a daemon."""
        return settings_text(self.layout, daemon, public_key)

    def daemon_arguments(self, name: str) -> tuple[str, ...]:
        """Return what the interpreter runs as a daemon."""
        return self._filled(self.commands.serve, settings=f'{name}.ini')

    def upstream_arguments(self, name: str) -> tuple[str, ...]:
        """Return what the interpreter runs as an upstream."""
        place = self.place(name)
        seed = self.seed + self.layout.upstreams.index(place)
        options = upstream_arguments(self.layout, place, seed)
        return (*self.commands.upstream, *options)

    def log_arguments(self) -> tuple[str, ...]:
        """Return what the interpreter runs as the log."""
        return (*self.commands.log, f'--port={self.layout.log_port}')

    def stop(self) -> list[str]:
        """Stop daemons, then upstreams, then the log.

        Returns the names of processes that had to be killed.
        """
        daemons = [daemon.name for daemon in self.layout.daemons]
        upstreams = [place.name for place in self.layout.upstreams]
        groups = (daemons, upstreams, ['log'])
        return list(chain.from_iterable(map(self._stop_group, groups)))

    def _stop_group(self, names: list[str]) -> list[str]:
        started = self.processes.ids()
        return self.processes.stop([name for name in names if name in started])

    def place(self, name: str) -> UpstreamPlace:
        """Return an upstream; raises ``ValueError`` for an unknown name."""
        for place in self.layout.upstreams:
            if place.name == name:
                return place
        raise ValueError(f'no upstream {name}')

    def set_fault(self, name: str, **order: Any) -> None:
        """Set the faults of an upstream; raises ``URLError``."""
        fetch(f'http://{self.place(name).address}/_fault', order)

    def ledger(self, name: str, runs: bool = True) -> LedgerPage:
        """Return the ledger of an upstream; raises ``URLError``."""
        url = f'http://{self.place(name).address}/_ledger?runs={int(runs)}'
        return msgspec.json.decode(fetch(url), type=LedgerPage)

    def _start_log(self) -> None:
        self.start_log()
        self._wait('log', f'{self.layout.log_url}/streams/bundles')

    def _make_keys(self) -> str:
        self._path('operator.key').unlink(missing_ok=True)
        keygen = self._filled(self.commands.keygen, private='operator.key')
        return self.processes.run('keygen', keygen, _COMMAND_LIMIT_S).strip()

    def _publish(self) -> None:
        text = self.layout.deployment.bundle_path.read_text()
        self._path('bundle.ini').write_text(text)
        self._path('bundle.signed').unlink(missing_ok=True)
        names = {
            'private': 'operator.key',
            'bundle': 'bundle.ini',
            'signed': 'bundle.signed',
        }
        self._run('sign', self._filled(self.commands.sign, **names))
        self._run('publish', self._filled(self.commands.publish, **names))

    def _run(self, name: str, arguments: tuple[str, ...]) -> None:
        self.processes.run(name, arguments, _COMMAND_LIMIT_S)

    def _path(self, name: str) -> Path:
        return self.run_dir.resolve() / name

    def _filled(
        self, template: tuple[str, ...], **names: str
    ) -> tuple[str, ...]:
        words = {name: str(self._path(path)) for name, path in names.items()}
        words |= {'log': self.layout.log_url, 'operator': OPERATOR}
        return tuple(word.format(**words) for word in template)

    def _wait(self, name: str, url: str) -> None:
        self.processes.wait_until(
            name, partial(answers_ok, url), _READY_LIMIT_MS
        )


def answers_ok(url: str) -> bool:
    """Return whether a ``GET`` is answered with 200."""
    try:
        fetch(url)
    except OSError:
        return False
    return True


def fetch(
    url: str,
    shape: dict[str, Any] | None = None,
    raw: bytes | None = None,
    limit_s: float = _HTTP_TIMEOUT_S,
) -> bytes:
    """Return the body of a ``GET``, or of a ``POST`` of JSON or raw bytes.

    Raises ``OSError`` when there is no answer with status 200.
    """
    posted = raw if shape is None else json.dumps(shape).encode()
    request = Request(url, posted)  # noqa: S310
    with _opener.open(request, timeout=limit_s) as answer:
        if answer.status != OK:
            raise URLError(f'{url}: status {answer.status}')
        body: bytes = answer.read()
    return body
