"""Upstream stand-in: an HTTP/1.1 server with slots, queue and faults.

Requests to all paths except ``/health``, ``/load``, ``/_ledger`` and
``/_fault`` occupy a slot for their service time. The response body starts
with the line ``METHOD TARGET TAG SIZE`` and is padded with dots to ``SIZE``
bytes. The response repeats the headers ``X-Request-Tag`` and
``Greengage-Request``; ``X-Upstream-Run`` reports whether the request was
executed.
"""

import base64
import hashlib
import logging
import random
from collections.abc import Callable
from dataclasses import dataclass, field
from enum import Enum
from functools import partial
from typing import Any

from twisted.internet.defer import Deferred, succeed

from . import servers
from .announcers import Announcement, Announcer
from .faults import (
    FaultOrder,
    Faults,
    HealthReport,
    WrongKind,
    in_effect,
    persistent_faults,
    target_fails,
)
from .ledgers import Ledger, WorkKey, fingerprint
from .slots import MS_PER_SECOND, Capacity, End, Job, SlotPool

TAG = b'X-Request-Tag'
REQUEST_ID = b'Greengage-Request'
DEADLINE = b'Greengage-Deadline-Ms'
SERVICE_SEED = b'X-Service-Seed'
IDEMPOTENCY_KEY = b'Idempotency-Key'
RUN_STATE = b'X-Upstream-Run'

RETRY_AFTER_S = 1
#: A draining upstream still accepts requests for at least this time.
DRAIN_LINGER_MS = 5000
_DRAIN_CHECK_S = 0.05

_logger = logging.getLogger(__name__)


class State(Enum):
    """State that the upstream announces to its daemon."""

    cold = 'cold'
    serving = 'serving'
    draining = 'draining'


@dataclass(frozen=True, slots=True)
class UpstreamSettings:
    """Settings of an upstream stand-in.

    ``slow_prefixes`` pairs a target prefix with the factor by which it
    multiplies the service time. ``admin_address`` is the administration
    address of the daemon on the same host; if it is empty, the upstream does
    not announce itself. Executions are also appended to ``ledger_file``.
    """

    upstream: str
    service: str
    admin_address: str = ''
    port: int = 0
    capacity: Capacity = field(default_factory=Capacity)
    answer_bytes: int = 256
    slow_prefixes: tuple[tuple[str, float], ...] = ()
    connection_limit: int = 400
    connection_cost_ms: float = 1
    probe_cost_ms: float = 25
    ledger_file: str = ''


@dataclass(eq=False, slots=True)
class _Work:
    """A request from its arrival until its response.

    ``error_draw`` is drawn uniformly from [0, 1) and compared with the error
    rate; ``closed`` means that the connection was closed.
    """

    request: servers.Request
    key: WorkKey
    faults: Faults
    error_draw: float
    job: Job | None = None
    closed: bool = False


class Upstream:
    """An upstream stand-in that runs in this process."""

    def __init__(
        self,
        settings: UpstreamSettings,
        network: servers.Network,
        on_crash: Callable[[], object] | None = None,
    ) -> None:
        """Call ``on_crash`` on a crash; the default is ``crash``."""
        self._settings = settings
        self._network = network
        self._on_crash = on_crash or self.crash
        self._rng = random.Random(f'{settings.capacity.seed} faults')
        self._server = servers.HttpServer(
            network, self._respond, settings.port, settings.connection_limit
        )
        self.ledger = Ledger(settings.upstream, path=settings.ledger_file)
        self.pool = SlotPool(settings.capacity, self.ledger, network)
        self._faults = Faults()
        self._faults_since = network.seconds()
        self._drain_since: float | None = None
        self._load_report: dict[str, object] = {}
        self._load_report_at = float('-inf')
        self.drained: Deferred[None] = Deferred()
        self._announcer: Announcer | None = None
        if settings.admin_address:
            self._announcer = Announcer(
                network, settings.admin_address, self.announcement
            )

    @property
    def address(self) -> str:
        """Listening address as ``host:port``."""
        return self._server.address

    @property
    def state(self) -> State:
        """State that the upstream announces."""
        if self._drain_since is not None:
            return State.draining
        return State.cold if self.pool.cold else State.serving

    @property
    def faults(self) -> Faults:
        """Faults in effect now, after flapping."""
        elapsed_s = self._network.seconds() - self._faults_since
        return in_effect(self._faults, elapsed_s * MS_PER_SECOND)

    def start(self) -> Deferred[None]:
        """Listen and announce; every start is a cold start."""
        self.pool = SlotPool(
            self._settings.capacity, self.ledger, self._network
        )
        self._drain_since = None
        self._server.start()
        if self._announcer is not None:
            self._announcer.start()
        return succeed(None)

    def stop(self) -> Deferred[None]:
        """Stop immediately and abort the running requests."""
        self.pool.cancel_all()
        stopped = self._server.stop()
        if self._announcer is None:
            return stopped
        announcer = self._announcer
        return stopped.addCallback(lambda _: announcer.stop())

    def crash(self) -> Deferred[None]:
        """Close the listener and reset all connections."""
        return self.stop()

    def drain(self) -> Deferred[None]:
        """Announce ``draining``.

        The deferred fires when no job is left, at the earliest after
        ``DRAIN_LINGER_MS``.
        """
        if self._drain_since is None:
            self._drain_since = self._network.seconds()
            if self._announcer is not None:
                self._announcer.announce()
            self._network.callLater(
                DRAIN_LINGER_MS / MS_PER_SECOND, self._check_drained
            )
        return self.drained

    def order(self, order: FaultOrder) -> None:
        """Replace the persistent faults and run the actions of an order."""
        self._faults = persistent_faults(order)
        self._faults_since = self._network.seconds()
        self._apply_phase(self._faults)
        if order.pause_ms:
            self.pool.pause(order.pause_ms)
        if order.silent:
            self._server.silence()
        if order.reset_connections:
            self._server.reset()
        if order.drain:
            self.drain()
        if order.crash:
            self._on_crash()

    def announcement(self) -> Announcement | None:
        """Return the current announcement; ``None`` during a pause."""
        if self.pool.pause_remaining_s:
            return None
        return Announcement(
            upstream=self._settings.upstream,
            service=self._settings.service,
            address=self.address,
            slots=self._settings.capacity.slots,
            state=self.state.value,
        )

    def _check_drained(self) -> None:
        if not self.pool.idle:
            self._network.callLater(_DRAIN_CHECK_S, self._check_drained)
        elif not self.drained.called:
            self.drained.callback(None)

    def _apply_faults(self) -> None:
        faults = self.faults
        self.pool.slow = faults.slow
        self.pool.hang(faults.hang)

    def _apply_phase(self, faults: Faults) -> None:
        """Apply faults now and at each half period while they flap.

        Faults that have been replaced are ignored.
        """
        if faults is not self._faults:
            return
        self._apply_faults()
        if faults.flap_period_ms:
            half_s = faults.flap_period_ms / 2 / MS_PER_SECOND
            self._network.callLater(half_s, self._apply_phase, faults)

    def _respond(self, request: servers.Request) -> None:
        path = request.path
        if path == b'/_fault':
            self._serve_fault(request)
        elif path == b'/_ledger':
            with_runs = servers.query(request, 'runs', 1) > 0
            page = self.ledger.page(with_runs)
            servers.reply_json(request, servers.OK, page)
        elif self.pool.pause_remaining_s:
            self._network.callLater(
                self.pool.pause_remaining_s, self._respond_if_open, request
            )
        elif path in {b'/health', b'/load'}:
            self._serve_probe(request)
        else:
            self._serve_work(request)

    def _respond_if_open(self, request: servers.Request) -> None:
        if request.channel is not None:
            self._respond(request)

    def _serve_fault(self, request: servers.Request) -> None:
        if request.method == b'GET':
            servers.reply_json(request, servers.OK, self._faults)
            return
        order = servers.read_json(request, FaultOrder)
        if order is None:
            return
        servers.reply_json(request, servers.OK, persistent_faults(order))
        # The response must be sent before a reset or crash.
        self._network.callLater(0, self.order, order)

    def _serve_probe(self, request: servers.Request) -> None:
        self.pool.charge(self._settings.probe_cost_ms)
        now = self._network.seconds()
        faults = self.faults
        lag_s = faults.report_lag_ms / MS_PER_SECOND
        if now - self._load_report_at >= lag_s:
            self._load_report = self._build_load_report(faults)
            self._load_report_at = now
        status = (
            servers.OK if self._load_report['healthy'] else servers.UNAVAILABLE
        )
        if request.path == b'/load':
            status = servers.OK
        self._network.callLater(
            self._settings.probe_cost_ms / MS_PER_SECOND,
            _send_load_report,
            request,
            status,
            dict(self._load_report),
        )

    def _build_load_report(self, faults: Faults) -> dict[str, object]:
        report: dict[str, object] = {
            'healthy': True,
            'state': self.state.value,
            'in_flight': self.pool.running,
            'queued': self.pool.queued,
            'slots': self._settings.capacity.slots,
        }
        if faults.health is HealthReport.healthy:
            report |= {'in_flight': 0, 'queued': 0}
        elif faults.health is HealthReport.sick:
            report |= {'healthy': False, 'queued': self._queue_limit}
        else:
            report['healthy'] = not (faults.hang or faults.errors)
        return report

    @property
    def _queue_limit(self) -> int:
        return self._settings.capacity.queue_limit

    def _serve_work(self, request: servers.Request) -> None:
        self._apply_faults()
        self._charge_connection(request)
        body = servers.body_of(request)
        work = _Work(request, _key_of(request, body), self.faults, 0)
        work.error_draw = self._rng.random()
        if _crashes(work.faults, body):
            self.ledger.start(work.key)
            self._on_crash()
            return
        self._count_after_drain()
        self._submit(work)

    def _submit(self, work: _Work) -> None:
        request = work.request
        request.notifyFinish().addErrback(partial(self._on_disconnect, work))
        work.job = Job(
            key=work.key,
            on_end=partial(self._on_job_end, work),
            seed=servers.header(request, SERVICE_SEED).decode('latin-1'),
            factor=self._service_time_factor(work.key.target),
            deadline_ms=_deadline_ms(request),
        )
        if not self.pool.offer(work.job):
            _refuse(request, servers.UNAVAILABLE, b'shed')

    def _on_disconnect(self, work: _Work, _failure: Any) -> None:
        work.closed = True
        if work.job is not None:
            self.pool.cancel(work.job)

    def _on_job_end(self, work: _Work, job: Job, end: End) -> None:
        if work.closed or end is End.cancelled:
            return
        if end is End.expired:
            run_state = b'stopped' if job.started else b'not-started'
            _refuse(work.request, servers.GATEWAY_TIMEOUT, run_state)
            return
        self._send_response(work)

    def _send_response(self, work: _Work) -> None:
        faults = work.faults
        request = work.request
        if faults.reset and self._rng.random() < faults.reset:
            servers.abort(request.channel)
        elif self._fails(work):
            request.responseHeaders.setRawHeaders(RUN_STATE, [b'finished'])
            _echo_identifiers(work.key, request)
            servers.reply(request, faults.error_status, b'failed\n')
        elif faults.wrong and self._rng.random() < faults.wrong:
            self._send_wrong_response(work)
        else:
            _write_response(work.key, request, self._settings)

    def _fails(self, work: _Work) -> bool:
        faults = work.faults
        return work.error_draw < faults.errors or target_fails(
            faults, work.key.target
        )

    def _send_wrong_response(self, work: _Work) -> None:
        kind = self._rng.choice(work.faults.wrong_kinds)
        other = work.key
        if kind is WrongKind.tag:
            other = other._replace(
                tag=f'other-{other.tag}', request=f'other-{other.request}'
            )
        _write_response(other, work.request, self._settings, kind)

    def _service_time_factor(self, target: str) -> float:
        for prefix, factor in self._settings.slow_prefixes:
            if target.startswith(prefix):
                return factor
        return 1

    def _charge_connection(self, request: servers.Request) -> None:
        channel: Any = request.channel
        if not getattr(channel, 'charged', False):
            channel.charged = True
            self.pool.charge(self._settings.connection_cost_ms)

    def _count_after_drain(self) -> None:
        if self._drain_since is not None:
            elapsed_s = self._network.seconds() - self._drain_since
            self.ledger.after_drain += 1
            self.ledger.after_drain_ms = elapsed_s * MS_PER_SECOND


def _key_of(request: servers.Request, body: bytes) -> WorkKey:
    method, target = request.method, request.uri
    return WorkKey(
        request=servers.header(request, REQUEST_ID).decode('latin-1'),
        tag=servers.header(request, TAG).decode('latin-1'),
        idempotency=servers.header(request, IDEMPOTENCY_KEY).decode('latin-1'),
        fingerprint=fingerprint(method, target, body),
        method=method.decode('latin-1'),
        target=target.decode('latin-1'),
    )


def _deadline_ms(request: servers.Request) -> float | None:
    text = servers.header(request, DEADLINE)
    return max(0, int(text)) if text.isdigit() else None


def _crashes(faults: Faults, body: bytes) -> bool:
    return bool(faults.crash_body) and faults.crash_body.encode() in body


def _send_load_report(
    request: servers.Request, status: int, report: dict[str, object]
) -> None:
    if request.channel is not None:
        servers.reply_json(request, status, report)


def _refuse(request: servers.Request, status: int, run_state: bytes) -> None:
    request.responseHeaders.setRawHeaders(RUN_STATE, [run_state])
    request.responseHeaders.setRawHeaders(
        b'Retry-After', [b'%d' % RETRY_AFTER_S]
    )
    servers.reply(request, status, run_state)


def _echo_identifiers(key: WorkKey, request: servers.Request) -> None:
    headers = request.responseHeaders
    headers.setRawHeaders(TAG, [key.tag.encode('latin-1')])
    headers.setRawHeaders(REQUEST_ID, [key.request.encode('latin-1')])


def response_body(key: WorkKey, size: int) -> bytes:
    """Return the correct response body, padded to ``size`` bytes.

    It is longer than ``size`` when its first line is.
    """
    line = f'{key.method} {key.target} {key.tag} {size}\n'
    return line.encode('latin-1').ljust(size, b'.')


def _write_response(
    key: WorkKey,
    request: servers.Request,
    settings: UpstreamSettings,
    kind: WrongKind | None = None,
) -> None:
    sink: Any = request
    headers = request.responseHeaders
    _echo_identifiers(key, request)
    headers.setRawHeaders(b'X-Upstream', [settings.upstream.encode()])
    headers.setRawHeaders(b'X-Upstream-Target', [request.uri])
    headers.setRawHeaders(b'X-Upstream-Method', [request.method])
    headers.setRawHeaders(RUN_STATE, [b'finished'])
    body = response_body(key, settings.answer_bytes)
    digest = base64.b64encode(hashlib.sha256(body).digest())
    headers.setRawHeaders(b'Content-Digest', [b'sha-256=:%b:' % digest])
    half = body[: len(body) // 2]
    if kind is WrongKind.truncated:
        headers.setRawHeaders(b'content-length', [b'%d' % len(body)])
        sink.write(half)
        sink.loseConnection()
    elif kind is WrongKind.short:
        servers.reply(request, servers.OK, half)
    else:
        servers.reply(request, servers.OK, body)
