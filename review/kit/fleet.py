"""A small deployment: daemons as processes, the rest as stand-ins."""

import asyncio
import json
import os
import random
import shlex
import shutil
import signal
import socket
import sys
import tempfile
import threading
import time
import tomllib
import uuid
from pathlib import Path

from .http1 import LOOPBACK, ClosedEarly, call
from .store import Store
from .upstream import Upstream

ROOT = Path(__file__).resolve().parents[2]
HOST = 'shop.example'
#: The bounds of the site that the claims name.
BOUNDS = (
    'seed_lag_s=3,reuse_after_s=2,stability_ms=3000,ack_ms=4000,catch_up_s=4,'
    'drain_ms=2000,grace_s=6,loss_slack_ms=200,propagation_ms=2000,'
    'rollback_slack_ms=250,max_skew_ms=5000,retry_budget_ratio=0.2,'
    'budget_window_s=10,budget_slack=62,recovery_s=15,probes_per_s=3,'
    'floor_share=0.7'
)
STABILITY_S = 3.0
DRAIN_S = 2.0
_ENV_NAMES = ('PATH', 'HOME', 'LANG')
#: Below the range from which the kernel takes ports of connections.
FIRST_PORTS = range(12000, 30000, 1000)


def _claim_ports():
    """Return a range of ports that no other case uses, and what holds it."""
    for first in FIRST_PORTS:
        guard = socket.socket()
        try:
            guard.bind((LOOPBACK, first))
        except OSError:
            guard.close()
            continue
        return (first + 1, first + 1000), guard
    raise OSError('no free range of ports')


PORT_RANGE, _guard = _claim_ports()
_given = set()
#: All processes of this one.
_started = []


def trouble():
    """Return whether the case runs with its disruption."""
    return os.environ.get('TROUBLE', '1') != '0'


class CannotRun(Exception):
    """The case could not be set up."""


class Recorder:
    """Writes what was sent, answered and run, with seconds since the start."""

    def __init__(self, path):
        self._file = open(path, 'w', encoding='utf-8')
        self._start = time.monotonic()
        self.entries = []

    def now(self):
        return time.monotonic() - self._start

    def __call__(self, kind, **fields):
        at = self.now()
        self.entries.append((at, kind, fields))
        text = ' '.join(f'{name}={value}' for name, value in fields.items())
        self._file.write(f'{at:9.3f} {kind} {text}\n')
        self._file.flush()
        return at

    def of(self, kind):
        """Return the time and the fields of all entries of a kind."""
        return [(at, fields) for at, each, fields in self.entries if each == kind]

    def close(self):
        self._file.close()


def free_ports(count):
    """Return free ports below those that the kernel gives to connections.

    A process that starts again must find its port free.
    """
    ports = []
    while len(ports) < count:
        port = random.randrange(*PORT_RANGE)
        with socket.socket() as sock:
            try:
                sock.bind((LOOPBACK, port))
            except OSError:
                continue
        if port not in _given:
            _given.add(port)
            ports.append(port)
    return ports


class Daemon:
    """One daemon process beside one upstream."""

    def __init__(self, fleet, name, zone, region, service, upstream):
        self.fleet = fleet
        self.name = name
        self.zone = zone
        self.region = region
        self.service = service
        self.upstream = upstream
        ports = free_ports(5)
        names = ('inbound', 'outbound', 'ready', 'control', 'inner')
        self.ports = dict(zip(names, ports, strict=True))
        self.process = None
        self.started_at = 0.0

    @property
    def outbound(self):
        return self.ports['outbound']

    def write_settings(self, app_port):
        fleet = self.fleet
        ports = self.ports
        lines = [
            f'node_name={self.name}',
            'role=daemon',
            'machine_class=sidecar',
            'serves=sidecar',
            f'ip={LOOPBACK}',
            f'zone={self.zone}',
            f'region={self.region}',
            *(f'zones.{zone}={region}' for zone, region in fleet.zones),
            f'listen.inbound={LOOPBACK}:{ports["inbound"]}',
            f'listen.outbound={LOOPBACK}:{ports["outbound"]}',
            f'listen.ready={LOOPBACK}:{ports["ready"]}',
            f'listen.control={LOOPBACK}:{ports["control"]}',
            f'port_range={ports["inner"]},{ports["inner"]}',
            'seeds=',
            'bootstrap=true',
            'loss_counts=false',
            'limits.cpu_share=0.86',
            'limits.cpu_cores=1',
            'limits.memory_mb=300',
            'limits.max_fds=4100',
            'limits.link_mbps=1000.0',
            'limits.disk_mb=0',
            'discovery=static',
            'entry=static',
            'heartbeat_ms=1500',
            'contracts=base,drain,config,cost,retry,recover,health,platform',
            'fault_tolerance.machines=2',
            'fault_tolerance.zones=0',
            'fault_tolerance.regions=0',
            f'bounds={BOUNDS}',
            f'app_addr={LOOPBACK}:{app_port}',
            f'service={self.service}',
            f'platform.address={LOOPBACK}:{fleet.store.server.port}',
            'platform.form=log',
            'platform.writes_per_s=400',
            'platform.reads_per_s=2000',
            'platform.parts=8',
            'platform.append_ms=4.0',
            'platform.partition_mb_s=20.0',
            'platform.read_mb_s=80.0',
            'platform.record_bytes=262144',
            'platform.call_bytes=2097152',
            'platform.keep_s=300',
            'platform.part_mb=200',
            'platform.min_ttl_ms=1000',
        ]
        self.settings_path = fleet.folder / f'{self.name}.conf'
        self.settings_path.write_text('\n'.join(lines) + '\n')

    def start(self):
        env = {name: os.environ[name] for name in _ENV_NAMES if name in os.environ}
        env['GREENGAGEMUX_BOOT'] = str(self.settings_path)
        env['PYTHONPATH'] = str(ROOT / 'target' / 'deps')
        env['PYTHONDONTWRITEBYTECODE'] = '1'
        words = shlex.split(self.fleet.run_line)
        words[0] = shutil.which(words[0]) or words[0]
        log = open(self.fleet.folder / f'{self.name}.log', 'ab')
        self.process = self.fleet.spawn(words, env, log)
        log.close()
        self.started_at = self.fleet.record('daemon-started', daemon=self.name)

    def signal(self, number):
        self.fleet.record('signal', daemon=self.name, signal=number.name)
        self.process.send_signal(number)

    async def kill(self):
        self.signal(signal.SIGKILL)
        await self.fleet.reap(self.process)

    async def is_ready(self):
        try:
            reply = await call(self.ports['ready'], 'GET', '/api/readyz', limit_s=1)
        except (OSError, ClosedEarly, TimeoutError):
            return False
        return reply.status == 200

    async def wait_ready(self, limit_s=25):
        end = time.monotonic() + limit_s
        while time.monotonic() < end:
            if self.process.poll() is not None:
                raise CannotRun(f'{self.name} ended: {self.process.returncode}')
            if await self.is_ready():
                self.fleet.record('daemon-ready', daemon=self.name)
                return
            await asyncio.sleep(0.1)
        raise CannotRun(f'{self.name} is not ready after {limit_s} s')


class Fleet:
    """Daemons, their upstreams and the store."""

    def __init__(self, record, work_s, services=('orders',) * 4, timeout_ms=2000):
        import subprocess

        self._subprocess = subprocess
        self.record = record
        self.work_s = work_s
        self.timeout_ms = timeout_ms
        self.zones = (('z1', 'r1'), ('z2', 'r1'))
        self.services = services
        self.folder = Path(tempfile.mkdtemp(prefix='review-'))
        deploy = tomllib.loads((ROOT / 'deploy' / 'system.toml').read_text())
        self.run_line = deploy['roles']['daemon']['run']
        self.daemons = []
        self._processes = []
        self._version = 0
        self.extra_routes = []

    def spawn(self, words, env, log):
        process = self._subprocess.Popen(
            words, cwd=ROOT, env=env, stdout=log, stderr=log,
            stdin=self._subprocess.DEVNULL,
        )
        self._processes.append(process)
        _started.append(process)
        return process

    async def reap(self, process):
        while process.poll() is None:
            await asyncio.sleep(0.02)

    async def start(self, app_port_of=None):
        if not (ROOT / 'target' / 'deps').is_dir():
            raise CannotRun('target/deps is missing: run the build line first')
        self.store = Store()
        await self.store.server.start()
        await self.configure()
        for place, service in enumerate(self.services):
            zone, region = self.zones[place % len(self.zones)]
            upstream = Upstream(
                f's{place + 1}', service, self.record, self.work_s,
                port=free_ports(1)[0],
            )
            await upstream.start()
            daemon = Daemon(
                self, f'd{place + 1}', zone, region, service, upstream
            )
            upstream.control_port = daemon.ports['control']
            app_port = upstream.server.port
            if app_port_of is not None:
                app_port = await app_port_of(daemon)
                upstream.app_port = app_port
            daemon.write_settings(app_port)
            self.daemons.append(daemon)
        for daemon in self.daemons:
            daemon.start()
        for daemon in self.daemons:
            await daemon.wait_ready()
            daemon.upstream.begin_beats()

    async def configure(self):
        """Write the next version of the configuration."""
        self._version += 1
        kinds = (('read', 'idempotent', 2), ('write', 'non_idempotent', 1))
        routes = [
            {
                'name': f'{name}-{service}',
                'hostname': HOST,
                'path_prefix': f'/{name}-{service}/',
                'kind': kind,
                'timeout_ms': self.timeout_ms,
                'target_latency_ms': 800,
                'priority': rank,
                'service': service,
                'max_attempts': 2,
            }
            for service in sorted(set(self.services))
            for name, kind, rank in kinds
        ]
        document = {
            'version': f'r{self._version}',
            'routes': routes + self.extra_routes,
            'services': [
                {
                    'name': service,
                    'health_path': '/healthz',
                    'max_connections': 390,
                    'protocol': 'h1',
                    'tls': False,
                }
                for service in sorted(set(self.services))
            ],
            'limits': {
                'max_header_bytes': 16384,
                'max_body_bytes': 67108864,
                'header_timeout_ms': 3000,
                'idle_timeout_ms': 15000,
            },
        }
        await self.store.put('keyed.op', 'config', json.dumps(document).encode())
        self.record('config', version=self._version)

    async def send(
        self, daemon, method, target, budget_ms=2000, leave_after_s=None,
        limit_s=None, body=b'',
    ):
        """Send one request as a client of a daemon and record its end."""
        ident = uuid.uuid4().hex[:16]
        self.record(
            'sent', request=ident, daemon=daemon.name, method=method,
            target=target, budget_ms=budget_ms,
        )
        wait_s = leave_after_s or limit_s or budget_ms / 1000 + 3
        headers = {
            'Host': HOST, 'Request-Id': ident, 'Deadline-Ms': budget_ms,
        }
        status, seal = 0, ''
        try:
            reply = await call(
                daemon.outbound, method, target, headers, body, wait_s
            )
            status = reply.status
            seal = reply.headers.get('response-seal', '')
            how = reply.headers.get('greengage-reason', '')
        except TimeoutError:
            how = 'client-left'
        except (OSError, ClosedEarly) as error:
            how = f'closed:{type(error).__name__}'
        self.record(
            'answered', request=ident, daemon=daemon.name, status=status,
            seal=seal or '-', how=how or '-',
        )
        return ident, status

    async def warm_up(self):
        """Send reads at each daemon until all of them are served."""
        for _ in range(60):
            answers = [
                await self.send(daemon, 'GET', f'/read-{service}/warm')
                for daemon in self.daemons
                for service in sorted(set(self.services))
            ]
            if all(status == 200 for _, status in answers):
                return
            await asyncio.sleep(0.3)
        raise CannotRun('the fleet does not serve')

    async def stop(self):
        for daemon in self.daemons:
            await daemon.upstream.end_beats()
        for process in self._processes:
            if process.poll() is None:
                process.kill()
        for process in self._processes:
            process.wait()
        for daemon in self.daemons:
            await daemon.upstream.server.stop()
        await self.store.server.stop()
        shutil.rmtree(self.folder, ignore_errors=True)


def run_case(folder, case, limit_s=112):
    """Run ``case(record)``, which returns the broken rules as texts.

    The process exits with the verdict, without waiting for tasks that are left.
    """
    record = Recorder(Path(folder) / 'record.txt')
    record('case', trouble=int(trouble()))
    watchdog = threading.Timer(limit_s + 5, _give_up)
    watchdog.daemon = True
    watchdog.start()
    asyncio.run(_judge(record, case, limit_s))


async def _judge(record, case, limit_s):
    try:
        broken = await asyncio.wait_for(case(record), limit_s)
    except Exception as error:
        # Whatever goes wrong in the case itself is no verdict.
        record('cannot-run', error=repr(error))
        print(f'cannot run: {error!r}')
        _exit(2)
    for text in broken:
        record('BROKEN', text=text)
        print(f'broken: {text}')
    record('verdict', broken=len(broken))
    record.close()
    if not broken:
        print('the rule held')
    _exit(1 if broken else 0)


def _give_up():
    print('cannot run: the time is over')
    _exit(2)


def _exit(code):
    """End all processes that were started, and this one."""
    for process in _started:
        if process.poll() is None:
            process.kill()
            process.wait()
    sys.stdout.flush()
    os._exit(code)
