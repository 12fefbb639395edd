"""Lifecycle of requests at the last hop, beside their upstreams."""

from collections import deque
from collections.abc import Iterator, Mapping
from dataclasses import dataclass, field
from datetime import timedelta
from types import MappingProxyType

import xxhash
from msgspec import structs

from .admissions import Queue
from .answers import FinishedJobs, Origin
from .bundles import RETRIES_PCT, Service
from .clocks import ZERO, in_ms, ms
from .convictions import Verdict, fingerprint
from .crashes import CRASH_WINDOW, CrashReports
from .detectors import ErrorRates, Sample, SampleKind
from .effects import (
    AbortCall,
    CallUpstream,
    DropConnections,
    Outbox,
    ProbeUpstream,
    Record,
    Send,
)
from .epochs import StreamEpochs
from .events import (
    Announced,
    CallFault,
    Probed,
    UpstreamAnswered,
    UpstreamFailed,
)
from .headers import DEADLINE, REQUEST_ID, echoes, get, is_intact
from .ids import (
    CallId,
    DaemonId,
    ServiceName,
    StreamId,
    UpstreamId,
)
from .messages import (
    Answer,
    Dispatch,
    Load,
    Message,
    NotSeen,
    Priority,
    Refusal,
    Running,
    Suspects,
    UpstreamRecord,
    UpstreamState,
)
from .outcomes import Outcome, Reason
from .retries import Budget
from .verdicts import StateChange, Verdicts

#: An upstream that stops announcing itself is gone after this long.
ANNOUNCE_LEASE = timedelta(seconds=3)
#: A process that did nothing for this long was paused or starved.
STALL = timedelta(seconds=1)
#: Announcements that arrive this soon after a stall may have waited during
#: it, and may be older than a drain that has not been announced yet.
STALL_BACKLOG = timedelta(milliseconds=250)
#: How long a write may run on after its deadline, so that its result is known.
WRITE_GRACE = timedelta(seconds=5)
#: Weight of the newest service time in the running mean.
SERVICE_TIME_WEIGHT = 0.1
#: Service time assumed before the first answer of an upstream.
INITIAL_SERVICE_MS = 10.0
#: A person interrupts an internal request that has run for less than this
#: share of the mean service time, because little work is lost.
CHEAP_SHARE = 0.2
#: A person who has waited for this many times the mean interval between two
#: free slots interrupts any; most slots become free earlier by themselves.
PREEMPT_INTERVALS = 1.5
#: Part of the permitted retries that an upstream receives steadily; the rest
#: covers retries saved up before an outage.
STEADY_RETRIES = 0.85
#: Retries saved up for one upstream; its detector needs three calls on new
#: connections to tell that the upstream hangs.
SAVED_RETRIES = 4
#: Weight of the newest wait in the ratio of waits to queues met.
WAIT_WEIGHT = 0.1
WAIT_FACTOR_MAX = 10
#: Calls of one request that may be given up; then it runs to its end.
GIVEN_UP_LIMIT = 3
#: Work lost to interruptions as a share of started work: goodput under
#: overload must stay at 95% of capacity.
LOST_SHARE = 0.037
#: Added to a request that was refused because of load.
RETRY_AFTER_MS = 1000

_HTTP_ERROR = 500
_DRAINING = UpstreamState.draining


@dataclass(slots=True, eq=False)
class Job:
    """A request from its dispatch to its end."""

    origin: Origin
    stream: StreamId | None
    dispatch: Dispatch
    arrived: timedelta
    deadline: timedelta
    priority: Priority
    size_bytes: int
    fingerprint: int
    alone: bool = False
    call: CallId | None = None
    started: timedelta = ZERO
    fresh: bool = False
    silent: bool = False
    given_up: int = 0
    ahead_ms: float = 0

    @property
    def identity(self) -> bytes:
        """Identity of the request over the whole fleet."""
        origin = self.origin
        name = f'{origin.daemon}/{origin.incarnation}/{origin.request}'
        return name.encode()

    @property
    def account(self) -> str:
        """Account of the caller."""
        return self.dispatch.caller

    @property
    def team(self) -> str:
        """Team of the account, or the account itself without one."""
        return self.dispatch.team or f'account {self.dispatch.caller}'

    @property
    def cost_ms(self) -> float:
        """Expected service time; 0 when it is not known."""
        return self.dispatch.expected_ms


@dataclass(slots=True, eq=False)
class Upstream:
    """An upstream beside this daemon."""

    upstream: UpstreamId
    service: ServiceName
    address: str
    slots: int
    announced: UpstreamState
    expires: timedelta
    queue: Queue[Job]
    state: UpstreamState
    running: dict[CallId, Job] = field(default_factory=dict)
    service_ms: float = INITIAL_SERVICE_MS
    wait_factors: dict[Priority, float] = field(
        default_factory=lambda: dict.fromkeys(Priority, 1.0)
    )
    retries: Budget = field(default_factory=lambda: Budget(0))
    confirmed: bool = True
    crashed_at: timedelta | None = None
    trials: deque[Job] = field(default_factory=deque)

    preemptions: Budget = field(default_factory=lambda: Budget(LOST_SHARE))

    @property
    def on_trial(self) -> bool:
        """Whether a suspected request waits to run or runs alone."""
        if self.trials:
            return True
        return any(job.alone for job in self.running.values())

    def takes_work(self, now: timedelta) -> bool:
        """Return whether its lease allows new work."""
        return self.confirmed and self.expires > now


class LastHop:
    """Owns the upstreams beside this daemon and the requests they run."""

    def __init__(
        self,
        own: DaemonId,
        outbox: Outbox,
        verdicts: Verdicts,
        crashes: CrashReports,
    ) -> None:
        """Start with no upstream announced."""
        self._own = own
        self._outbox = outbox
        #: Health of the upstreams beside this daemon.
        self.verdicts = verdicts
        self._crashes = crashes
        self._convictions = crashes.convictions
        self._services: Mapping[ServiceName, Service] = {}
        self._retry_share = STEADY_RETRIES * RETRIES_PCT / 100
        self.upstreams: dict[UpstreamId, Upstream] = {}
        self._jobs: dict[Origin, Job] = {}
        self._calls: dict[CallId, Job] = {}
        self._finished = FinishedJobs()
        self._next_call = 1
        #: Which streams of peers may bring requests.
        self.epochs = StreamEpochs()
        self._seen_at: timedelta | None = None
        self._backlog_until = ZERO
        #: Replies to requests of this daemon's own entrance.
        self.local_replies: list[Message] = []
        #: Whether upstream records changed since they were last announced.
        self.changed = False

    def configure(
        self,
        services: Mapping[ServiceName, Service],
        retries_pct: float = RETRIES_PCT,
    ) -> None:
        """Apply the services of a new bundle."""
        self._services = services
        self._retry_share = STEADY_RETRIES * retries_pct / 100
        for name, service in services.items():
            rates = ErrorRates(service.false_alarm, service.miss)
            self.verdicts.configure(name, rates)
        for upstream in self.upstreams.values():
            self._bound_queue(upstream)
            upstream.retries.share = self._retry_share

    @property
    def busy(self) -> bool:
        """Whether requests are queued or running."""
        return bool(self._jobs)

    def records(self) -> tuple[UpstreamRecord, ...]:
        """Return what this daemon announces of its upstreams."""
        return tuple(
            UpstreamRecord(
                upstream=each.upstream,
                service=each.service,
                slots=each.slots,
                state=each.state,
                severity=self.verdicts.severity(each.upstream),
            )
            for each in self.upstreams.values()
        )

    def announce(self, event: Announced, now: timedelta) -> None:
        """Renew the lease of an upstream and take over its state."""
        if now < self._backlog_until and event.state is not _DRAINING:
            return
        known = self.upstreams.get(event.upstream)
        if known is None or known.address != event.address:
            self._add(event, now)
            return
        known.expires = now + ANNOUNCE_LEASE
        known.confirmed = True
        if known.announced is event.state and known.slots == event.slots:
            return
        known.announced = event.state
        known.slots = event.slots
        self._announce_state(known, now)
        self._fill(known, now)

    def notice(self, now: timedelta) -> None:
        """Distrust all leases after a stall of this process."""
        stalled = self._seen_at is not None and now - self._seen_at >= STALL
        self._seen_at = now
        if not stalled:
            return
        self._outbox.emit(Record('stalled'))
        self._backlog_until = now + STALL_BACKLOG
        for upstream in self.upstreams.values():
            upstream.confirmed = False

    def dispatch(
        self,
        origin: Origin,
        stream: StreamId | None,
        message: Dispatch,
        now: timedelta,
    ) -> None:
        """Admit a request: run it, queue it or refuse it."""
        if not self.accepts(origin, stream):
            return
        upstream = self.upstreams.get(message.upstream)
        if upstream is None or not upstream.takes_work(now):
            # A process that was paused may not have seen that an upstream
            # is leaving, so the lease is checked here as well.
            self._refuse(origin, stream, Reason.no_upstream)
            return
        admitted = self.verdicts.admits(
            upstream.upstream,
            len(upstream.running),
            idempotent=message.idempotent,
            forced=message.forced,
        )
        if admitted and not self._may_call(upstream, message):
            self._refuse(origin, stream, Reason.retry_budget, upstream)
            return
        if not admitted:
            draining = upstream.state is UpstreamState.draining
            reason = Reason.draining if draining else Reason.sick
            self._refuse(origin, stream, reason, upstream)
            return
        job = _job(origin, stream, message, now)
        verdict = self._convictions.check(job.fingerprint, now)
        if verdict is Verdict.convicted:
            self._refuse(origin, stream, Reason.crashes_upstreams, upstream)
            return
        job.alone = verdict is Verdict.suspect
        self._admit(upstream, job, now)
        # Ticks alone are too far apart for the wait of a person.
        self._preempt(upstream, now)

    def hint(self, message: Dispatch, now: timedelta) -> Suspects:
        """Return what is known of a request that another daemon will run."""
        subject = fingerprint(message.method, message.target, message.body)
        return self._convictions.hint(subject, now)

    def accepts(self, origin: Origin, stream: StreamId | None) -> bool:
        """Return whether a request is new and its stream not superseded."""
        if origin in self._jobs or origin in self._finished:
            return False
        if stream is None or self.epochs.is_newest(origin.daemon, stream):
            return True
        self._outbox.emit(
            Record('dispatch-superseded', {'peer': origin.daemon})
        )
        self._refuse(origin, stream, Reason.late)
        return False

    def answer_for(
        self,
        origin: Origin,
        stream: StreamId | None,
        message: Answer | Refusal,
        until: timedelta,
    ) -> None:
        """Reply to a write that this daemon ran as the home of its key."""
        reply = structs.replace(message, request=origin.request)
        if stream is not None:
            self._outbox.emit(Send(stream, reply))
        self._finished.keep(origin, reply, until)

    def cancel(self, origin: Origin, now: timedelta) -> None:
        """Stop a request whose caller no longer waits.

        A write that runs is left alone, so that its result becomes known.
        """
        job = self._jobs.get(origin)
        if job is None:
            return
        if job.call is None:
            self._discard(job)
            self._end(job, _refusal(job, Reason.deadline), now)
        elif job.dispatch.idempotent:
            self._abort(job, Reason.deadline, now)

    def inquire(self, origin: Origin, stream: StreamId, now: timedelta) -> None:
        """Tell an entrance on a new stream what became of its request."""
        finished = self._finished.get(origin)
        if finished is not None:
            self._outbox.emit(Send(stream, finished))
            return
        job = self._jobs.get(origin)
        if job is None:
            self._outbox.emit(Send(stream, NotSeen(origin.request)))
            return
        job.stream = stream
        self._outbox.emit(Send(stream, Running(origin.request)))

    def answered(self, event: UpstreamAnswered, now: timedelta) -> None:
        """Pass on a whole answer of an upstream."""
        job = self._calls.get(event.call)
        if job is None:
            return
        upstream = self.upstreams[job.dispatch.upstream]
        service_ms = in_ms(now - job.started)
        self._release(job, upstream)
        self._crashes.tell(
            upstream.service,
            self._convictions.finished(job.fingerprint, answered=True, now=now),
        )
        if job.fresh and job.silent:
            # The kept connections have gone silent and new ones work.
            self._outbox.emit(DropConnections(upstream.address))
        fault = _fault_in(event, job)
        if fault:
            self._observe(job, SampleKind.wrong, now)
            self._end(job, _unknown(job, Reason.upstream_failed, fault), now)
            self._fill(upstream, now)
            return
        kind = SampleKind.success
        if event.status >= _HTTP_ERROR:
            kind = SampleKind.error
        else:
            change = service_ms - upstream.service_ms
            upstream.service_ms += SERVICE_TIME_WEIGHT * change
        self._observe(job, kind, now)
        answer = Answer(
            request=job.origin.request,
            status=event.status,
            headers=event.headers,
            body=event.body,
            length=len(event.body),
            digest=xxhash.xxh3_64_intdigest(event.body),
            service_ms=service_ms,
            load=load_of(upstream),
        )
        self._end(job, answer, now)
        self._fill(upstream, now)

    def failed(self, event: UpstreamFailed, now: timedelta) -> None:
        """End a request whose call failed."""
        job = self._calls.get(event.call)
        if job is None:
            return
        upstream = self.upstreams[job.dispatch.upstream]
        self._release(job, upstream)
        if event.fault is CallFault.reset and event.sent:
            self._note_crash(upstream, job, now)
        self._convictions.finished(job.fingerprint, answered=False, now=now)
        kind = _FAULT_SAMPLES.get(event.fault)
        if kind is not None:
            self._observe(job, kind, now)
        if event.fault is CallFault.refused:
            self._apply(self.verdicts.crashed(upstream.upstream, now))
        reason = _FAULT_REASONS.get(event.fault, Reason.upstream_failed)
        outcome = Outcome.unknown if event.sent else Outcome.not_run
        refusal = Refusal(
            request=job.origin.request,
            reason=reason,
            outcome=outcome,
            detail=str(event.failure),
            load=load_of(upstream),
        )
        self._end(job, refusal, now)
        self._fill(upstream, now)

    def probed(self, event: Probed, now: timedelta) -> None:
        """Take in the result of a probe."""
        if event.refused:
            self._apply(self.verdicts.crashed(event.upstream, now))
        changes = self.verdicts.probed(
            event.upstream, alive=event.alive, now=now
        )
        self._apply(changes)

    def tick(self, now: timedelta) -> None:
        """Expire leases, deadlines and kept answers."""
        for upstream in tuple(self.upstreams.values()):
            if upstream.expires <= now:
                self._expire(upstream, now)
        self._apply(self.verdicts.tick(now))
        for running in tuple(self._calls.values()):
            self._check_silence(running, now)
        for job in self._late(now):
            self._end_late(job, now)
        for waiting in self.upstreams.values():
            self._fill(waiting, now)
            self._preempt(waiting, now)
            if self.verdicts.may_probe(waiting.upstream, now):
                self._probe(waiting)
        self._finished.trim(now)

    def _may_call(self, upstream: Upstream, message: Dispatch) -> bool:
        """Count a first call, or take a retry from the budget.

        All entrances share this budget, so that the share of retries an
        upstream receives does not depend on how many entrances there are.
        """
        if message.retry:
            return upstream.retries.spend()
        upstream.retries.earn()
        return True

    def _add(self, event: Announced, now: timedelta) -> None:
        old = self.upstreams.get(event.upstream)
        if old is not None:
            self._expire(old, now)
        upstream = Upstream(
            upstream=event.upstream,
            service=event.service,
            address=event.address,
            slots=event.slots,
            announced=event.state,
            expires=now + ANNOUNCE_LEASE,
            queue=Queue(0, 0),
            state=event.state,
            retries=Budget(self._retry_share, saved_limit=SAVED_RETRIES),
        )
        self._bound_queue(upstream)
        self.upstreams[event.upstream] = upstream
        self._announce_state(upstream, now)
        self.changed = True

    def _bound_queue(self, upstream: Upstream) -> None:
        service = self._services.get(upstream.service)
        if service is not None:
            upstream.queue.limit = service.queue_limit
            upstream.queue.limit_bytes = service.queue_limit_bytes

    def _announce_state(self, upstream: Upstream, now: timedelta) -> None:
        changes = self.verdicts.announced(
            upstream.upstream,
            upstream.service,
            upstream.slots,
            upstream.announced,
            now,
        )
        self._apply(changes)
        self.changed = True

    def _apply(self, changes: list[StateChange]) -> None:
        for change in changes:
            upstream = self.upstreams.get(change.upstream)
            if upstream is None:
                continue
            self.changed = True
            if upstream.state is not change.state:
                upstream.state = change.state
                self._note_state(upstream, change.reason)

    def _observe(self, job: Job, kind: SampleKind, now: timedelta) -> None:
        sample = Sample(
            kind,
            job.dispatch.route,
            in_ms(now - job.started),
            job.dispatch.expected_ms,
            fresh=job.fresh,
            peer_errors=job.dispatch.peer_errors,
        )
        upstream = job.dispatch.upstream
        self._apply(self.verdicts.observe(upstream, sample, now))

    def _check_silence(self, job: Job, now: timedelta) -> None:
        """Count a request that is too old, and try a new connection once.

        A kept connection may have gone silent while new ones work; only an
        idempotent request can tell by being called again.
        """
        upstream = self.upstreams[job.dispatch.upstream]
        if job.silent and (job.fresh or not job.dispatch.idempotent):
            return
        limit_ms = self.verdicts.silence_limit_ms(
            upstream.upstream,
            job.dispatch.route,
            job.dispatch.expected_ms,
            job.started,
            now,
        )
        if in_ms(now - job.started) < limit_ms:
            return
        self._observe(job, SampleKind.silent, now)
        job.silent = True
        if not job.dispatch.idempotent or job.fresh or job.call is None:
            return
        if not upstream.retries.spend():
            return
        self._outbox.emit(AbortCall(job.call))
        self._release(job, upstream)
        self._convictions.finished(job.fingerprint, answered=False, now=now)
        job.fresh = True
        job.given_up += 1
        self._start(upstream, job, now)

    def _expire(self, upstream: Upstream, now: timedelta) -> None:
        if upstream.announced is not UpstreamState.draining:
            upstream.announced = UpstreamState.draining
            self._announce_state(upstream, now)
        self._refuse_queued(upstream, Reason.draining, now)
        if not upstream.running:
            self.upstreams.pop(upstream.upstream)
            self.verdicts.retire(upstream.upstream)
            self._outbox.emit(DropConnections(upstream.address))
            self.changed = True

    def _note_state(self, upstream: Upstream, reason: str) -> None:
        self._outbox.emit(
            Record(
                'upstream-state',
                {
                    'upstream': upstream.upstream,
                    'service': upstream.service,
                    'state': upstream.state.value,
                    'reason': reason,
                },
            )
        )

    def _admit(self, upstream: Upstream, job: Job, now: timedelta) -> None:
        if job.dispatch.movable and upstream.queue.ahead(job.priority):
            self._refuse(job.origin, job.stream, Reason.busy, upstream)
            return
        self._jobs[job.origin] = job
        if job.alone:
            upstream.trials.append(job)
            self._fill(upstream, now)
            return
        if not upstream.queue and _has_slot(upstream):
            self._start(upstream, job, now)
            return
        job.ahead_ms = _ahead_ms(upstream, job)
        wait_ms = job.ahead_ms * upstream.wait_factors[job.priority]
        if wait_ms + job.cost_ms > in_ms(job.deadline - now):
            self._end(job, _overloaded(job, upstream), now)
            return
        for refused in upstream.queue.offer(job):
            self._end(refused, _overloaded(refused, upstream), now)

    def _start(self, upstream: Upstream, job: Job, now: timedelta) -> None:
        call = CallId(self._next_call)
        self._next_call += 1
        job.call = call
        job.started = now
        upstream.running[call] = job
        upstream.preemptions.earn()
        self._calls[call] = job
        self._convictions.started(job.fingerprint)
        message = job.dispatch
        remaining_ms = max(1, int(in_ms(job.deadline - now)))
        if not message.idempotent:
            self._outbox.emit(
                Record(
                    'write-dispatched',
                    {
                        'request': job.identity.decode(),
                        'upstream': upstream.upstream,
                    },
                )
            )
        self._outbox.emit(
            CallUpstream(
                call=call,
                address=upstream.address,
                method=message.method,
                target=message.target,
                headers=(
                    *message.headers,
                    (DEADLINE, b'%d' % remaining_ms),
                    (REQUEST_ID, job.identity),
                ),
                body=message.body,
                limit_bytes=message.answer_limit_bytes,
                fresh=job.fresh,
            )
        )

    def _fill(self, upstream: Upstream, now: timedelta) -> None:
        if not upstream.takes_work(now):
            return
        if upstream.trials:
            self._try_alone(upstream, now)
            return
        while upstream.queue and _has_slot(upstream):
            job = upstream.queue.take()
            if job is None:
                return
            _learn_wait(upstream, job, now)
            if job.deadline - ms(job.cost_ms) <= now:
                self._end(job, _refusal(job, Reason.deadline), now)
                continue
            self._start(upstream, job, now)

    def _try_alone(self, upstream: Upstream, now: timedelta) -> None:
        """Run a suspected request when nothing else runs there.

        Should it crash the upstream again, no innocent request is hit, and
        the crash proves what caused it.
        """
        job = upstream.trials[0]
        if upstream.running or self._convictions.on_trial(job.fingerprint):
            return
        upstream.trials.popleft()
        verdict = self._convictions.check(job.fingerprint, now)
        if verdict is Verdict.convicted:
            self._end(job, _refusal(job, Reason.crashes_upstreams), now)
            self._fill(upstream, now)
        else:
            self._start(upstream, job, now)

    def _note_crash(self, upstream: Upstream, job: Job, now: timedelta) -> None:
        """Suspect all requests that ran when a connection was reset."""
        last = upstream.crashed_at
        if last is not None and now - last < CRASH_WINDOW:
            return
        upstream.crashed_at = now
        # Whether the process has ended is known before the next request.
        self._probe(upstream)
        hit = [job, *upstream.running.values()]
        self._crashes.crashed(
            upstream.service,
            [each.fingerprint for each in hit],
            [each.stream for each in hit],
            now,
        )

    def _preempt(self, upstream: Upstream, now: timedelta) -> None:
        """Interrupt an internal request for a person who waits too long.

        The one that started last is interrupted, because it loses the least
        work.
        """
        first = upstream.queue.oldest(Priority.waiting)
        if first is None:
            return
        running = filter(_interruptible, reversed(upstream.running.values()))
        job = next(running, None)
        if job is None or job.call is None:
            return
        lost_ms = in_ms(now - job.started)
        waited_ms = in_ms(now - first.arrived)
        cheap = lost_ms <= CHEAP_SHARE * upstream.service_ms
        interval_ms = upstream.service_ms / max(1, upstream.slots)
        if not cheap and waited_ms < PREEMPT_INTERVALS * interval_ms:
            return
        if not upstream.preemptions.spend(lost_ms / upstream.service_ms):
            return
        self._outbox.emit(AbortCall(job.call))
        self._release(job, upstream)
        self._convictions.finished(job.fingerprint, answered=False, now=now)
        job.given_up += 1
        upstream.queue.put_back(job)
        upstream.queue.discard(first)
        self._start(upstream, first, now)

    def _probe(self, upstream: Upstream) -> None:
        self._outbox.emit(ProbeUpstream(upstream.upstream, upstream.address))

    def _release(self, job: Job, upstream: Upstream) -> None:
        if job.call is None:
            return
        self._calls.pop(job.call, None)
        upstream.running.pop(job.call, None)
        job.call = None

    def _end(self, job: Job, message: Answer | Refusal, now: timedelta) -> None:
        self._jobs.pop(job.origin, None)
        if job.given_up and isinstance(message, Refusal):
            # The call that was given up may have run.
            message = structs.replace(message, outcome=Outcome.unknown)
        if job.origin.daemon == self._own:
            self.local_replies.append(message)
            return
        if job.stream is not None:
            self._outbox.emit(Send(job.stream, message))
        self._finished.keep(job.origin, message, max(job.deadline, now))

    def _refuse(
        self,
        origin: Origin,
        stream: StreamId | None,
        reason: Reason,
        upstream: Upstream | None = None,
    ) -> None:
        refusal = Refusal(
            request=origin.request,
            reason=reason,
            outcome=Outcome.not_run,
            load=load_of(upstream) if upstream else None,
        )
        if stream is None:
            self.local_replies.append(refusal)
            return
        self._outbox.emit(Send(stream, refusal))

    def _refuse_queued(
        self, upstream: Upstream, reason: Reason, now: timedelta
    ) -> None:
        while upstream.queue:
            job = upstream.queue.take()
            if job is not None:
                self._end(job, _refusal(job, reason), now)
        while upstream.trials:
            tried = upstream.trials.popleft()
            self._end(tried, _refusal(tried, reason), now)

    def _discard(self, job: Job) -> None:
        upstream = self.upstreams.get(job.dispatch.upstream)
        if upstream is None:
            return
        if job.alone:
            upstream.trials.remove(job)
        else:
            upstream.queue.discard(job)

    def _abort(self, job: Job, reason: Reason, now: timedelta) -> None:
        upstream = self.upstreams[job.dispatch.upstream]
        if job.call is not None:
            self._outbox.emit(AbortCall(job.call))
            self._convictions.finished(job.fingerprint, answered=False, now=now)
        self._release(job, upstream)
        self._end(job, _unknown(job, reason, ''), now)
        self._fill(upstream, now)

    def _late(self, now: timedelta) -> Iterator[Job]:
        late = [job for job in self._jobs.values() if job.deadline <= now]
        yield from late

    def _end_late(self, job: Job, now: timedelta) -> None:
        if job.origin not in self._jobs:
            # Ended meanwhile, when the end of another one freed a slot.

            # Ended when the abort of an earlier one refilled its slot.
            return
        if job.call is None:
            self._discard(job)
            self._end(job, _refusal(job, Reason.deadline), now)
            return
        grace = ZERO if job.dispatch.idempotent else WRITE_GRACE
        if job.deadline + grace <= now:
            self._abort(job, Reason.deadline, now)


_FAULT_REASONS = MappingProxyType(
    {
        CallFault.reset: Reason.connection_lost,
        CallFault.too_large: Reason.answer_too_large,
    }
)

_FAULT_SAMPLES = MappingProxyType(
    {
        CallFault.refused: SampleKind.refused,
        CallFault.unreachable: SampleKind.refused,
        CallFault.reset: SampleKind.reset,
        CallFault.truncated: SampleKind.truncated,
        CallFault.malformed: SampleKind.wrong,
    }
)


def load_of(upstream: Upstream) -> Load:
    """Return the load that is reported with each answer."""
    return Load(
        in_flight=len(upstream.running),
        queued=len(upstream.queue),
        slots=upstream.slots,
        service_ms=upstream.service_ms,
        state=upstream.state,
        ahead=tuple(map(upstream.queue.ahead, Priority)),
    )


def _job(
    origin: Origin, stream: StreamId | None, message: Dispatch, now: timedelta
) -> Job:
    return Job(
        origin=origin,
        stream=stream,
        dispatch=message,
        arrived=now,
        deadline=now + ms(message.remaining_ms),
        priority=message.priority,
        size_bytes=len(message.body) + len(message.target),
        fingerprint=fingerprint(message.method, message.target, message.body),
    )


def _has_slot(upstream: Upstream) -> bool:
    if upstream.on_trial:
        return False
    return len(upstream.running) < upstream.slots


def _interruptible(job: Job) -> bool:
    if job.priority is not Priority.internal:
        return False
    if job.given_up >= GIVEN_UP_LIMIT:
        return False
    return job.dispatch.idempotent and not job.silent


def _learn_wait(upstream: Upstream, job: Job, now: timedelta) -> None:
    """Compare the wait of a request with the queue it met.

    Later requests of more urgent classes make the wait of others longer.
    """
    if not job.ahead_ms or job.given_up:
        return
    factor = upstream.wait_factors[job.priority]
    found = min(in_ms(now - job.arrived) / job.ahead_ms, WAIT_FACTOR_MAX)
    factor += WAIT_WEIGHT * (found - factor)
    upstream.wait_factors[job.priority] = factor


def _ahead_ms(upstream: Upstream, job: Job) -> float:
    ahead = upstream.queue.ahead(job.priority) + 1
    return ahead * upstream.service_ms / max(1, upstream.slots)


def _refusal(job: Job, reason: Reason) -> Refusal:
    return Refusal(
        request=job.origin.request, reason=reason, outcome=Outcome.not_run
    )


def _fault_in(event: UpstreamAnswered, job: Job) -> str:
    """Return what shows that an answer is wrong, or nothing."""
    message = job.dispatch
    identity = get(event.headers, REQUEST_ID.lower())
    if identity is not None and identity != job.identity:
        return 'the answer is for another request'
    if not echoes(message.headers, event.headers, message.echo):
        return f'{message.echo} is not that of the request'
    if message.method != b'HEAD' and not is_intact(event.headers, event.body):
        return 'the body does not have its declared digest'
    return ''


def _unknown(job: Job, reason: Reason, detail: str) -> Refusal:
    return Refusal(
        request=job.origin.request,
        reason=reason,
        outcome=Outcome.unknown,
        detail=detail,
    )


def _overloaded(job: Job, upstream: Upstream) -> Refusal:
    return Refusal(
        request=job.origin.request,
        reason=Reason.overloaded,
        outcome=Outcome.not_run,
        retry_after_ms=RETRY_AFTER_MS,
        load=load_of(upstream),
    )
