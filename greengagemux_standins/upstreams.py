"""Upstream stand-in: an HTTP/1.1 server with slots, queue and faults.

Every path but ``/health``, ``/load``, ``/_ledger`` and ``/_fault`` is work.
The body of its answer starts with the line ``METHOD TARGET TAG SIZE``; dots
fill it up to ``SIZE`` bytes. ``X-Request-Tag`` and ``Greengage-Request`` come
back as headers, and ``X-Upstream-Run`` tells how far the work got.
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
    standing,
    target_fails,
)
from .ledgers import Ledger, WorkKey, fingerprint
from .slots import MS_PER_SECOND, Capacity, End, Job, SlotPool

TAG = b'X-Request-Tag'
REQUEST_ID = b'Greengage-Request'
DEADLINE = b'Greengage-Deadline-Ms'
SERVICE_SEED = b'X-Service-Seed'
IDEMPOTENCY_KEY = b'Idempotency-Key'
RUN = b'X-Upstream-Run'

RETRY_AFTER_S = 1
#: Time of accepting late requests after the start of a drain.
DRAIN_LINGER_MS = 5000
_DRAIN_CHECK_S = 0.05

_logger = logging.getLogger(__name__)


class State(Enum):
    """State as announced."""

    cold = 'cold'
    serving = 'serving'
    draining = 'draining'


@dataclass(frozen=True, slots=True)
class UpstreamSettings:
    """Settings of an upstream stand-in.

    ``slow_prefixes`` are targets with the factor of their service time.
    ``admin_address`` is that of the daemon beside it; without one it does
    not announce itself. Executions are also written to ``ledger_file``.
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
    """One request on its way through the upstream."""

    request: servers.Request
    key: WorkKey
    faults: Faults
    dice: float
    job: Job | None = None
    closed: bool = False


class Upstream:
    """An upstream in this process."""

    def __init__(
        self,
        settings: UpstreamSettings,
        network: servers.Network,
        on_crash: Callable[[], object] | None = None,
    ) -> None:
        """Crash by ``on_crash``, or else as ``crash`` does."""
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
        self._report: dict[str, object] = {}
        self._report_at = float('-inf')
        self.drained: Deferred[None] = Deferred()
        self._announcer: Announcer | None = None
        if settings.admin_address:
            self._announcer = Announcer(
                network, settings.admin_address, self.announcement
            )

    @property
    def address(self) -> str:
        """Address as ``host:port``."""
        return self._server.address

    @property
    def state(self) -> State:
        """State as announced."""
        if self._drain_since is not None:
            return State.draining
        return State.cold if self.pool.cold else State.serving

    @property
    def faults(self) -> Faults:
        """Faults that hold now."""
        elapsed_s = self._network.seconds() - self._faults_since
        return in_effect(self._faults, elapsed_s * MS_PER_SECOND)

    def start(self) -> Deferred[None]:
        """Listen and announce; a start after a crash is cold again."""
        self.pool = SlotPool(
            self._settings.capacity, self.ledger, self._network
        )
        self._drain_since = None
        self._server.start()
        if self._announcer is not None:
            self._announcer.start()
        return succeed(None)

    def stop(self) -> Deferred[None]:
        """Stop at once; requests that run are cut off."""
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
        """Announce ``draining`` and fire when idle after the linger time."""
        if self._drain_since is None:
            self._drain_since = self._network.seconds()
            if self._announcer is not None:
                self._announcer.announce()
            self._network.callLater(
                DRAIN_LINGER_MS / MS_PER_SECOND, self._check_drained
            )
        return self.drained

    def order(self, order: FaultOrder) -> None:
        """Replace the standing faults and take the actions of an order."""
        self._faults = standing(order)
        self._faults_since = self._network.seconds()
        self._flap(self._faults)
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
        """Return what to announce; nothing during a pause."""
        if self.pool.pause_left:
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

    def _flap(self, faults: Faults) -> None:
        """Apply faults now and at each change of their phase."""
        if faults is not self._faults:
            return
        self._apply_faults()
        if faults.flap_period_ms:
            half_s = faults.flap_period_ms / 2 / MS_PER_SECOND
            self._network.callLater(half_s, self._flap, faults)

    def _respond(self, request: servers.Request) -> None:
        path = request.path
        if path == b'/_fault':
            self._serve_fault(request)
        elif path == b'/_ledger':
            with_runs = servers.query(request, 'runs', 1) > 0
            page = self.ledger.page(with_runs)
            servers.reply_json(request, servers.OK, page)
        elif self.pool.pause_left:
            self._network.callLater(
                self.pool.pause_left, self._respond_if_open, request
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
        servers.reply_json(request, servers.OK, standing(order))
        # The answer has to leave before a reset or crash.
        self._network.callLater(0, self.order, order)

    def _serve_probe(self, request: servers.Request) -> None:
        self.pool.charge(self._settings.probe_cost_ms)
        now = self._network.seconds()
        faults = self.faults
        lag_s = faults.report_lag_ms / MS_PER_SECOND
        if now - self._report_at >= lag_s:
            self._report = self._measure(faults)
            self._report_at = now
        status = servers.OK if self._report['healthy'] else servers.UNAVAILABLE
        if request.path == b'/load':
            status = servers.OK
        self._network.callLater(
            self._settings.probe_cost_ms / MS_PER_SECOND,
            _reply_report,
            request,
            status,
            dict(self._report),
        )

    def _measure(self, faults: Faults) -> dict[str, object]:
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
        work.dice = self._rng.random()
        if _crashes(work.faults, body):
            self.ledger.start(work.key)
            self._on_crash()
            return
        self._note_late()
        self._offer(work)

    def _offer(self, work: _Work) -> None:
        request = work.request
        request.notifyFinish().addErrback(partial(self._gone, work))
        work.job = Job(
            key=work.key,
            ended=partial(self._ended, work),
            seed=servers.header(request, SERVICE_SEED).decode('latin-1'),
            factor=self._factor(work.key.target),
            deadline_ms=_deadline_ms(request),
        )
        if not self.pool.offer(work.job):
            _refuse(request, servers.UNAVAILABLE, b'shed')

    def _gone(self, work: _Work, _failure: Any) -> None:
        work.closed = True
        if work.job is not None:
            self.pool.cancel(work.job)

    def _ended(self, work: _Work, job: Job, end: End) -> None:
        if work.closed or end is End.cancelled:
            return
        if end is End.expired:
            run = b'stopped' if job.started else b'not-started'
            _refuse(work.request, servers.GATEWAY_TIMEOUT, run)
            return
        self._answer(work)

    def _answer(self, work: _Work) -> None:
        faults = work.faults
        request = work.request
        if faults.reset and self._rng.random() < faults.reset:
            servers.abort(request.channel)
        elif self._fails(work):
            request.responseHeaders.setRawHeaders(RUN, [b'finished'])
            _echo(work.key, request)
            servers.reply(request, faults.error_status, b'failed\n')
        elif faults.wrong and self._rng.random() < faults.wrong:
            self._answer_wrong(work)
        else:
            _write_answer(work.key, request, self._settings)

    def _fails(self, work: _Work) -> bool:
        faults = work.faults
        return work.dice < faults.errors or target_fails(
            faults, work.key.target
        )

    def _answer_wrong(self, work: _Work) -> None:
        kind = self._rng.choice(work.faults.wrong_kinds)
        other = work.key
        if kind is WrongKind.tag:
            other = other._replace(
                tag=f'other-{other.tag}', request=f'other-{other.request}'
            )
        _write_answer(other, work.request, self._settings, kind)

    def _factor(self, target: str) -> float:
        for prefix, factor in self._settings.slow_prefixes:
            if target.startswith(prefix):
                return factor
        return 1

    def _charge_connection(self, request: servers.Request) -> None:
        channel: Any = request.channel
        if not getattr(channel, 'charged', False):
            channel.charged = True
            self.pool.charge(self._settings.connection_cost_ms)

    def _note_late(self) -> None:
        if self._drain_since is not None:
            late_s = self._network.seconds() - self._drain_since
            self.ledger.after_drain += 1
            self.ledger.after_drain_ms = late_s * MS_PER_SECOND


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


def _reply_report(
    request: servers.Request, status: int, report: dict[str, object]
) -> None:
    if request.channel is not None:
        servers.reply_json(request, status, report)


def _refuse(request: servers.Request, status: int, run: bytes) -> None:
    request.responseHeaders.setRawHeaders(RUN, [run])
    request.responseHeaders.setRawHeaders(
        b'Retry-After', [b'%d' % RETRY_AFTER_S]
    )
    servers.reply(request, status, run)


def _echo(key: WorkKey, request: servers.Request) -> None:
    headers = request.responseHeaders
    headers.setRawHeaders(TAG, [key.tag.encode('latin-1')])
    headers.setRawHeaders(REQUEST_ID, [key.request.encode('latin-1')])


def answer_body(key: WorkKey, size: int) -> bytes:
    """Return the right answer to a request; it may be longer than ``size``."""
    line = f'{key.method} {key.target} {key.tag} {size}\n'
    return line.encode('latin-1').ljust(size, b'.')


def _write_answer(
    key: WorkKey,
    request: servers.Request,
    settings: UpstreamSettings,
    kind: WrongKind | None = None,
) -> None:
    sink: Any = request
    headers = request.responseHeaders
    _echo(key, request)
    headers.setRawHeaders(b'X-Upstream', [settings.upstream.encode()])
    headers.setRawHeaders(b'X-Upstream-Target', [request.uri])
    headers.setRawHeaders(b'X-Upstream-Method', [request.method])
    headers.setRawHeaders(RUN, [b'finished'])
    body = answer_body(key, settings.answer_bytes)
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
