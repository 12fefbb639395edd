"""The runtime of a daemon: turns I/O into events and carries out effects."""

import gc
import logging
import signal
import sys
from collections import deque
from collections.abc import Callable
from dataclasses import dataclass
from datetime import timedelta
from functools import partial, singledispatchmethod
from typing import TYPE_CHECKING, Any, Final, Protocol

from twisted.internet.error import CannotListenError

from .addresses import Address
from .allotments.clients import Allotments
from .clocks import Clock, SystemClock
from .connections import UpstreamCalls
from .effects import (
    Acknowledge,
    AbortCall,
    AppendLog,
    CallUpstream,
    CheckListening,
    CloseStream,
    Containment,
    Continue,
    DropConnections,
    Effect,
    Exit,
    OpenStream,
    ProbeUpstream,
    ReadLog,
    Record,
    ReleaseCallers,
    Respond,
    Send,
    StepFailed,
)
from .events import Advance, Event, StopRequested, Tick
from .ids import DaemonId, Incarnation
from .limits import raise_file_limit
from .listeners import CONNECTION_LIMIT, CallerListener, Cutoff
from .logs import BufferedHandler, DescriptorSink, install_handler, log_event
from .memory.limits import HostLimits, host_limits
from .memory.requests import RequestBytes
from .messages import PROTOCOL_VERSION, Hello
from .metrics import Metrics
from .outcomes import Failure
from .reducers import TICK, Daemon, reduce
from .shutdown.sequence import Shutdown
from .streams import Counters, StreamHub

if TYPE_CHECKING:
    from .certificates import Certificates

logger = logging.getLogger(__name__)

#: The failures of one step are logged at most once in this time; all count in
#: the metric ``event_failures_total``.
FAILURE_LOG_INTERVAL: Final = timedelta(seconds=1)
#: Interval between collections of the young generations. Python's automatic
#: collection is off, as it would run in the middle of requests.
GC_INTERVAL_S: Final = 1.0
#: One in this many collections covers all generations.
COLLECTIONS_PER_FULL_ONE: Final = 600
#: File descriptors for peer streams, upstream connections, the log and stdio,
#: beside those of caller connections.
OTHER_DESCRIPTORS: Final = 4000
#: At most this many log lines are written after each tick. A separate timer
#: would wake an idle process 50 times a second, which takes 0.5% of a core.
FLUSH_LINES_PER_TICK: Final = 60
DEFAULT_LIMITS: Final = host_limits()


class Timer:
    """Calls a function at a fixed interval, at less cost than ``LoopingCall``.

    Calls that were missed because the reactor was busy are not repeated.
    """

    def __init__(
        self, reactor: Any, interval_s: float, work: Callable[[], None]
    ) -> None:
        """Set up the timer; nothing runs before ``start``."""
        self._reactor = reactor
        self._interval_s = interval_s
        self._work = work
        self._due_s = float(0)
        self._call: Any = None

    def start(self) -> None:
        """Start; the first call is made after one interval."""
        self._due_s = self._reactor.seconds()
        self._schedule()

    def stop(self) -> None:
        """Cancel the pending call."""
        if self._call is not None and self._call.active():
            self._call.cancel()
        self._call = None

    def _schedule(self) -> None:
        now_s = self._reactor.seconds()
        self._due_s = max(self._due_s + self._interval_s, now_s)
        self._call = self._reactor.callLater(self._due_s - now_s, self._run)

    def _run(self) -> None:
        # Scheduled first, so that an exception does not end the timer.
        self._schedule()
        self._work()


class GarbageCollection:
    """Collects the younger generations, and at times all of them."""

    def __init__(self) -> None:
        """Start without a bundle."""
        self._collections = 0
        self._bundle_frozen = False

    def collect(self, has_bundle: bool) -> None:
        """Collect; exempt the bundle once there is one."""
        self._collections += 1
        full = self._collections % COLLECTIONS_PER_FULL_ONE == 0
        gc.collect(2 if full else 1)
        if has_bundle and not self._bundle_frozen:
            # Most sections of a bundle are shared by many versions. Freezing
            # excludes them from full collections, each of which would
            # otherwise take 75 ms longer with 18,000 callers.
            self._bundle_frozen = True
            gc.freeze()


class LogBackend(Protocol):
    """Carries out reads and appends of the platform's log."""

    def read(self, effect: ReadLog) -> None:
        """Read a stream; the result is an event."""

    def append(self, effect: AppendLog) -> None:
        """Append a record to a stream; the result is an event."""


@dataclass(frozen=True, slots=True)
class Process:
    """Reactor, clock and log handler of the process."""

    reactor: Any
    clock: Clock
    handler: BufferedHandler


class Runtime:
    """One daemon process: its sockets, its timers and its reducer."""

    def __init__(
        self,
        process: Process,
        daemon: Daemon,
        certificates: 'Certificates | None' = None,
        *,
        tick: timedelta = TICK,
        gc_interval_s: float = GC_INTERVAL_S,
        limits: HostLimits = DEFAULT_LIMITS,
    ) -> None:
        """Build all parts; no address is listened on yet."""
        self._limits = limits
        egress = daemon.egress
        self._requests = RequestBytes(
            limits.request_bytes, lambda: egress.held_bytes
        )
        self._tick_interval_s = tick.total_seconds()
        self._collect_interval_s = gc_interval_s
        self.metrics = Metrics()
        self.daemon = daemon
        self._reactor = process.reactor
        self._clock = process.clock
        self._handler = process.handler
        self._certificates = certificates
        self._events: deque[Event] = deque()
        self._applying = False
        self._streams_opened = 0
        self._ports: list[Any] = []
        self._timers: list[Timer] = []
        self._garbage = GarbageCollection()
        self._contain = partial(Containment, self._carry_out)
        self._failed_steps = 0
        self._failures_logged_at: dict[str, timedelta] = {}
        self._log: LogBackend | None = None
        self._acknowledge: Callable[[Acknowledge], None] | None = None
        self._listener = self._build_listener()
        self._upstream_calls = self._build_calls()
        self._hub = StreamHub(
            self._reactor,
            self.submit,
            self._build_hello,
            Counters(
                self._stream_failed,
                partial(self.metrics.count, 'stream_sent_bytes_total'),
                partial(self.metrics.count, 'stream_received_bytes_total'),
            ),
            self._handler.hybrid_clock,
            certificates,
            limits,
            self._requests,
        )
        self._shutdown = Shutdown(
            self._reactor, self._listener, self._hub, self._contain
        )
        self._turn_timer = self.metrics.timer('reducer_turn_us')

    def start(self) -> None:
        """Start the timers; subclasses open their listeners first."""
        self._start_timer(self._tick_interval_s, self._tick)
        self._start_timer(self._collect_interval_s, self._collect)
        # Long-lived objects are exempted, as a collection that visits them all
        # takes longer than a request may wait.
        gc.collect()
        gc.freeze()
        gc.disable()

    def submit(self, event: Event) -> None:
        """Apply an event; one submitted during a turn is applied after it."""
        self._events.append(event)
        if self._applying:
            return
        self._applying = True
        while self._events:
            self._apply(self._events.popleft())
        self._applying = False

    def apply(self, event: Event) -> bool:
        """Apply an event; return whether no step of it has failed."""
        failed = self._failed_steps
        self.submit(event)
        return self._failed_steps == failed

    def reload_settings(self) -> None:
        """Log that a reload was requested; the settings are not reloaded."""
        self._carry_out(Record('reload-requested'))

    def request_stop(self) -> None:
        """Begin a graceful stop."""
        self.submit(StopRequested())

    def ready(self) -> tuple[bool, str]:
        """Return whether the daemon can serve callers, and the reason."""
        return self.daemon.ready()

    def _build_listener(self) -> CallerListener:
        return CallerListener(
            self._reactor,
            self._clock,
            self.submit,
            self._count_cutoff,
            self._limits,
            self._requests,
        )

    def _build_calls(self) -> UpstreamCalls:
        return UpstreamCalls(
            self._reactor, self.submit, self._limits.response_bytes
        )

    def _apply(self, event: Event) -> None:
        started = self._clock.monotonic()
        effects: list[Effect] = []
        try:
            effects = reduce(self.daemon, event, started)
        except Exception as error:
            # An event whose handling fails must not stop later ones.
            self._step_failed(StepFailed(type(event).__name__, error))
        for effect in effects:
            self._try_to_carry_out(effect)
        self._turn_timer.record(self._clock.monotonic() - started)

    def _try_to_carry_out(self, effect: Effect) -> None:
        try:
            self._carry_out(effect)
        except Exception:
            # The other effects of the event belong to other work.
            logger.exception('effect failed: %s', type(effect).__name__)
            self.metrics.count('effect_failures_total')

    def _tick(self) -> None:
        self.submit(Tick(self._clock.wall()))
        self._handler.flush(FLUSH_LINES_PER_TICK)

    def _collect(self) -> None:
        has_bundle = self.daemon.distribution.bundle is not None
        with self._contain('garbage'):
            self._garbage.collect(has_bundle)
        with self._contain('slow-callers'):
            self._listener.cut_off_slow()
        _measure_allotments(self.daemon.allotments, self.metrics)
        levels = _levels(
            self._limits,
            self._requests,
            self._listener,
            self._hub,
            self._upstream_calls,
        )
        for name, level in levels.items():
            self.metrics.gauge(name, level)
        self.metrics.record_pending()

    def _start_timer(self, interval_s: float, work: Callable[[], None]) -> None:
        timer = Timer(self._reactor, interval_s, work)
        timer.start()
        self._timers.append(timer)

    def _build_hello(self) -> Hello:
        self._streams_opened += 1
        own = self.daemon.own
        return Hello(
            PROTOCOL_VERSION,
            own.daemon,
            own.data_centre,
            own.region,
            own.incarnation,
            self._streams_opened,
        )

    def _stream_failed(self, failure: Failure) -> None:
        self.metrics.count('stream_failures_total', step=failure.step.value)
        log_event(
            logger, 'stream-failed', {'failure': str(failure)}, logging.WARNING
        )

    def _count_cutoff(self, why: Cutoff) -> None:
        self.metrics.count('caller_cutoffs_total', reason=why.value)

    @singledispatchmethod
    def _carry_out(self, effect: Effect) -> None:
        raise TypeError(f'not an effect: {type(effect).__name__}')

    @_carry_out.register
    def _respond(self, effect: Respond) -> None:
        self._listener.respond(effect)
        self.metrics.count('answers_total', status=str(effect.status))

    @_carry_out.register
    def _send(self, effect: Send) -> None:
        self._hub.send(effect.stream, effect.message)

    @_carry_out.register
    def _open_stream(self, effect: OpenStream) -> None:
        self._hub.open(effect.daemon, Address.parse(effect.address))

    @_carry_out.register
    def _close_stream(self, effect: CloseStream) -> None:
        self._hub.close(effect.stream)

    @_carry_out.register
    def _call_upstream(self, effect: CallUpstream) -> None:
        self._upstream_calls.call(effect)

    @_carry_out.register
    def _probe_upstream(self, effect: ProbeUpstream) -> None:
        self._upstream_calls.probe(effect)

    @_carry_out.register
    def _check_listening(self, effect: CheckListening) -> None:
        self._upstream_calls.check_listening(effect)

    @_carry_out.register
    def _abort_call(self, effect: AbortCall) -> None:
        self._upstream_calls.abort(effect.call)

    @_carry_out.register
    def _drop_connections(self, effect: DropConnections) -> None:
        self._upstream_calls.drop(effect.address)

    @_carry_out.register
    def _append_log(self, effect: AppendLog) -> None:
        if self._log is not None:
            self._log.append(effect)

    @_carry_out.register
    def _read_log(self, effect: ReadLog) -> None:
        if self._log is not None:
            self._log.read(effect)

    @_carry_out.register
    def _acknowledge_announcement(self, effect: Acknowledge) -> None:
        if self._acknowledge is not None:
            self._acknowledge(effect)

    @_carry_out.register
    def _record(self, effect: Record) -> None:
        if effect.counter:
            self.metrics.count(effect.counter)
        level = logging.DEBUG if effect.detail else logging.INFO
        if not logger.isEnabledFor(level):
            return
        log_event(logger, effect.name, effect.fields, level)
        self.metrics.count('events_total', event=effect.name.replace('-', '_'))

    @_carry_out.register
    def _step_failed(self, effect: StepFailed) -> None:
        self._failed_steps += 1
        self.metrics.count('event_failures_total', step=effect.step)
        now = self._clock.monotonic()
        logged_at = self._failures_logged_at.get(effect.step)
        if logged_at is not None and now - logged_at < FAILURE_LOG_INTERVAL:
            return
        self._failures_logged_at[effect.step] = now
        logger.error('event failed: %s', effect.step, exc_info=effect.error)

    @_carry_out.register
    def _continue(self, effect: Continue) -> None:
        # A call with delay 0 runs in the next iteration of the reactor, after
        # it has polled the sockets.
        self._reactor.callLater(0, self.submit, Advance())

    @_carry_out.register
    def _release_callers(self, effect: ReleaseCallers) -> None:
        self._listener.release(accept=effect.accept)

    @_carry_out.register
    def _exit(self, effect: Exit) -> None:
        self._shutdown.begin(effect.limit)
        for timer in self._timers:
            timer.stop()
        for port in self._ports:
            with self._contain('port-closed'):
                port.stopListening()
        self._handler.flush()


def _levels(
    limits: HostLimits,
    requests: RequestBytes,
    listener: CallerListener,
    hub: StreamHub,
    calls: UpstreamCalls,
) -> dict[str, int]:
    """Return what is held, each beside its limit."""
    return {
        'caller_connections': listener.connections,
        'caller_connections_limit': listener.connection_limit,
        'request_bytes': requests.held_bytes,
        'request_bytes_limit': limits.request_bytes,
        'incoming_bytes': hub.incoming.held_bytes,
        'incoming_bytes_limit': limits.incoming_bytes,
        'unsent_bytes': hub.unsent.total_bytes,
        'unsent_bytes_limit': hub.unsent.limit_bytes,
        'response_bytes': calls.held_bytes,
        'response_bytes_limit': limits.response_bytes,
        'unread_bytes': listener.unread_bytes,
        'unread_bytes_limit': limits.unread_bytes,
    }


def build_process(daemon: DaemonId, level: str) -> Process:
    """Return the process after installing its log, which goes to stdout."""
    # The import installs the reactor, which only a daemon process needs.
    from twisted.internet import reactor as installed

    clock = SystemClock()
    handler = BufferedHandler(
        clock,
        daemon,
        new_incarnation(clock),
        DescriptorSink(sys.stdout.fileno()),
    )
    install_handler(handler, level)
    _check_file_limit()
    return Process(installed, clock, handler)


def run_runtime(process: Process, runtime: Runtime) -> None:
    """Run a daemon until it is stopped by a signal.

    SIGTERM and SIGINT stop it. SIGHUP is logged, but no settings are reloaded.
    Raises ``OSError`` when an address cannot be listened on.
    """
    reactor = process.reactor
    failures: list[CannotListenError] = []
    reactor.callWhenRunning(_start, reactor, runtime, failures)
    reactor.addSystemEventTrigger('before', 'shutdown', process.handler.flush)
    stop = partial(_schedule_stop, reactor, runtime)
    signal.signal(signal.SIGTERM, stop)
    signal.signal(signal.SIGINT, stop)
    reload_settings = partial(_schedule_reload, reactor, runtime)
    signal.signal(signal.SIGHUP, reload_settings)
    reactor.run(installSignalHandlers=False)
    if failures:
        raise OSError(str(failures[0]))


def new_incarnation(clock: Clock) -> Incarnation:
    """Return the incarnation of a process that starts now.

    It is the wall clock in milliseconds, so that later ones are greater.
    """
    return Incarnation(int(clock.wall().timestamp() * 1000))


def _start(
    reactor: Any, runtime: Runtime, failures: list[CannotListenError]
) -> None:
    try:
        runtime.start()
    except CannotListenError as error:
        # The reactor would log the error and run on without a listener.
        failures.append(error)
        reactor.stop()


def _measure_allotments(allotments: Allotments, metrics: Metrics) -> None:
    metrics.gauge('allotment_buckets', allotments.owned_count)
    metrics.gauge('allotment_requests_waiting', allotments.waiting_count)
    for (decision, decided_by), amount in allotments.take_counts().items():
        metrics.count(
            'allotment_decisions_total',
            amount,
            decision=decision,
            decided_by=decided_by,
        )


def _check_file_limit() -> None:
    limit = raise_file_limit()
    needed = CONNECTION_LIMIT + OTHER_DESCRIPTORS
    if limit < needed:
        fields = {'limit': limit, 'needed': needed}
        log_event(logger, 'file-limit-low', fields, logging.WARNING)


def _schedule_reload(reactor: Any, runtime: Runtime, *_signal: object) -> None:
    reactor.callFromThread(runtime.reload_settings)


def _schedule_stop(reactor: Any, runtime: Runtime, *_signal: object) -> None:
    reactor.callFromThread(runtime.request_stop)
