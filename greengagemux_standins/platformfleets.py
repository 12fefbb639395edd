"""Daemons of ``greengagemux.platform`` as processes, and their store."""

import json
from collections.abc import Callable, Iterable, Mapping, Sequence
from functools import partial
from pathlib import Path
from typing import Any, Final

from twisted.internet.defer import Deferred

from greengagemux.loadclients import Answer, Exchange, Lost, Pool
from greengagemux.platform.servers import Server
from greengagemux.platform.settings import PATH_VARIABLE

from .platformupstreams import PlatformUpstream
from .processes import Processes
from .servers import LOOPBACK, NOT_FOUND, OK
from .stores import Store

#: Ports of a daemon, in the order of their numbers.
PORT_NAMES: Final = ('inbound', 'outbound', 'ready', 'control', 'admin')
#: Time from SIGTERM to SIGKILL on the platform.
GRACE_S: Final = 6.0
HOST: Final = 'shop.example'
READ_PREFIX: Final = '/list/'
WRITE_PREFIX: Final = '/post/'

#: Data centres and their regions.
_ZONES: Final = (('a', 'r'), ('b', 'r'))
TWO_REGIONS: Final = (('a', 'r'), ('b', 's'))


def version_prefix(version: int) -> str:
    """Return a prefix that only one version of the configuration has."""
    return f'/version-{version}/'


def configuration(version: int) -> bytes:
    """Return a configuration with routes for reads and writes.

    One more route for reads shows that this version is in force.
    """
    prefixes = (
        ('read', 'idempotent', READ_PREFIX),
        ('write', 'non_idempotent', WRITE_PREFIX),
        ('version', 'idempotent', version_prefix(version)),
    )
    routes = [
        {
            'name': name,
            'hostname': HOST,
            'path_prefix': prefix,
            'kind': kind,
            'service': 'orders',
            'timeout_ms': 3000,
            'max_attempts': 3,
        }
        for name, kind, prefix in prefixes
    ]
    return json.dumps(
        {
            'version': f'r{version}',
            'routes': routes,
            'services': [{'name': 'orders'}],
        }
    ).encode()


def configured_store() -> Store:
    """Return a store that holds the first configuration."""
    store = Store()
    store.append('keyed.op', 'config', configuration(1))
    return store


def settings_text(
    name: str,
    zone: str,
    ports: Mapping[str, int],
    upstream: str,
    store: str,
    region: str = 'r',
) -> str:
    """Return the settings of a daemon; ``upstream`` and ``store`` listen."""
    admin = ports['admin']
    lines = [
        f'node_name={name}',
        f'zone={zone}',
        f'region={region}',
        'service=orders',
        f'ip={LOOPBACK}',
        f'port_range={admin},{admin}',
        f'bounds=grace_s={GRACE_S}',
        f'app_addr={upstream}',
        f'platform.address={store}',
    ]
    lines += [
        f'listen.{each}={LOOPBACK}:{ports[each]}' for each in PORT_NAMES[:-1]
    ]
    return '\n'.join(lines)


class PlatformFleet:
    """Daemons in some data centres, each beside one upstream of this process."""

    def __init__(
        self,
        network: Any,
        processes: Processes,
        run_dir: Path,
        base_port: int,
        upstreams: Iterable[PlatformUpstream],
        zones: Sequence[tuple[str, str]] = _ZONES,
    ) -> None:
        """Prepare; nothing listens yet.

        ``zones`` are the data centres with their regions, taken in turn.
        """
        self._zones = zones
        self.processes = processes
        self.store = configured_store()
        self.upstreams = {f'd{each.upstream}': each for each in upstreams}
        self._network = network
        self._run_dir = run_dir
        self._base_port = base_port
        self._version = 1
        self._store_port: Any = None

    def start(self) -> None:
        """Listen and start all processes; raises ``CannotListenError``."""
        self._store_port = self._network.listenTCP(
            0,
            Server(self._network, self.store, headers=self.store.headers),
            interface=LOOPBACK,
        )
        store = f'{LOOPBACK}:{self._store_port.getHost().port}'
        for place, (name, upstream) in enumerate(self.upstreams.items()):
            upstream.start()
            zone, region = self._zones[place % len(self._zones)]
            text = settings_text(
                name, zone, self.ports(name), upstream.address, store, region
            )
            self._settings_path(name).write_text(text)
            self.start_daemon(name)
            upstream.announce_to(f'{LOOPBACK}:{self.ports(name)["control"]}')

    def start_daemon(self, name: str) -> None:
        """Start a daemon that is not running."""
        self.processes.start(
            name,
            ('-m', 'greengagemux.platform'),
            {PATH_VARIABLE: str(self._settings_path(name))},
        )

    def ready(self, name: str) -> Deferred[bool]:
        """Ask a daemon whether it accepts callers."""
        return self._ask(
            name,
            'ready',
            'GET /api/readyz HTTP/1.1\r\nHost: x\r\n',
            lambda status: status == OK,
        )

    def ports(self, name: str) -> dict[str, int]:
        """Return the ports of a daemon by name."""
        place = list(self.upstreams).index(name)
        first = self._base_port + place * len(PORT_NAMES)
        return {each: first + at for at, each in enumerate(PORT_NAMES)}

    def change(self) -> None:
        """Store the next version of the configuration."""
        self._version += 1
        self.store.append('keyed.op', 'config', configuration(self._version))

    def restore(self, copied: Mapping[str, int]) -> None:
        """Bring the store back from a copy.

        The operator writes its newest configuration again, and new ones until
        the store has as many records as before.
        """
        topic = 'keyed.op'
        before = self.store.copy()[topic]
        self.store.restore(copied)
        newest = configuration(self._version)
        end = self.store.append(topic, 'config', newest) + 1
        for _ in range(end, before):
            self.change()

    def serves_newest(self, name: str) -> Deferred[bool]:
        """Ask a daemon for a route of the newest configuration."""
        target = f'{version_prefix(self._version)}{name}'
        return self._ask(
            name,
            'outbound',
            f'GET {target} HTTP/1.1\r\nHost: {HOST}\r\n'
            f'Request-Id: newest-{name}\r\nDeadline-Ms: 1000\r\n',
            lambda status: status != NOT_FOUND,
        )

    def stop(self) -> None:
        """Stop all processes and close the stand-ins."""
        self.processes.stop(self.upstreams)
        self._store_port.stopListening()
        for upstream in self.upstreams.values():
            upstream.stop()

    def _ask(
        self, name: str, port: str, head: str, accepts: Callable[[int], bool]
    ) -> Deferred[bool]:
        """Send one request; a lost connection counts as not accepted."""
        answered: Deferred[bool] = Deferred()
        pool = Pool(f'{LOOPBACK}:{self.ports(name)[port]}', self._network)
        exchange = Exchange(
            f'{head}Connection: close\r\n\r\n'.encode(),
            is_head=False,
            callback=partial(_tell, answered, accepts),
        )
        pool.ask(exchange)
        return answered

    def _settings_path(self, name: str) -> Path:
        return self._run_dir.resolve() / f'{name}.conf'


def _tell(
    answered: Deferred[bool],
    accepts: Callable[[int], bool],
    answer: Answer | Lost,
) -> None:
    answered.callback(isinstance(answer, Answer) and accepts(answer.status))
