"""Runs requests on the upstreams beside this daemon.

Admits, queues, starts, aborts and ends them, and reports each result to
health tracking and to the detection of poison requests.
"""

from collections.abc import Mapping
from dataclasses import replace
from datetime import timedelta
from types import MappingProxyType

import xxhash
from msgspec import structs

from .answers import RECORD_MARGIN, WRITE_GRACE, FinishedJobs, Origin
from .clocks import ZERO, in_ms, ms
from .poisonrequests import PoisonStatus, dispatch_fingerprint
from .crashchecks import CrashChecks
from .crashes import CrashReports, blocked_record
from .detectors import Sample, SampleKind
from .effects import (
    CallUpstream,
    DropConnections,
    Outbox,
    Record,
    Send,
)
from .epochs import StreamEpochs
from .events import (
    Announced,
    CallFault,
    ListeningChecked,
    Probed,
    UpstreamAnswered,
    UpstreamFailed,
    UpstreamStated,
)
from .headers import DEADLINE, REQUEST_ID
from .ids import (
    CallId,
    DaemonId,
    StreamId,
    UpstreamId,
)
from .jobs import (
    Job,
    Upstream,
    ahead_ms_of,
    busy_refusal,
    cost_ms_of,
    response_fault,
    can_still_finish,
    exceeds_rate_limit,
    may_start,
    interruptible,
    is_turn_over,
    update_service_time,
    update_wait_factor,
    load_of,
    new_job,
    not_run_refusal,
    refund_retry,
    overload_refusal,
    completion_limit_ms_of,
    unknown_refusal,
    withdraw,
    within_retry_budget,
)
from .messages import (
    Answer,
    Dispatch,
    Message,
    NotSeen,
    Priority,
    Refusal,
    Running,
    Suspects,
    UpstreamState,
)
from .outcomes import Outcome, Reason
from .upstreams import ANNOUNCE_LEASE, Upstreams
from .healthstates import HealthTracker

#: An internal request that has run for less than this share of the mean
#: service time is preempted at once, because little work is lost.
PREEMPT_AT_ONCE_SHARE = 0.2
#: Any other internal request is preempted once an interactive request has
#: waited for this many times the mean interval between two free slots; most
#: slots become free earlier by themselves.
PREEMPT_WAIT_INTERVALS = 1.5

_HTTP_ERROR = 500
#: States in which an upstream gets only some of the requests.
_RESTRICTED_STATES = frozenset((UpstreamState.sick, UpstreamState.probation))


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
        CallFault.shed: SampleKind.error,
    }
)


class Egress:
    """Owns the upstreams beside this daemon and the requests they run."""

    def __init__(
        self,
        own: DaemonId,
        outbox: Outbox,
        health_tracker: HealthTracker,
        crashes: CrashReports,
        lease: timedelta = ANNOUNCE_LEASE,
    ) -> None:
        """Start with no upstream announced."""
        self._own = own
        self._outbox = outbox
        #: Health of the upstreams beside this daemon.
        self.health_tracker = health_tracker
        self._crashes = crashes
        self._crash_checks = CrashChecks(crashes, outbox)
        #: Requests that are known to crash upstreams.
        self.poison_requests = crashes.poison_requests
        #: The upstreams and their states.
        self.local_upstreams = Upstreams(outbox, health_tracker, lease)
        self._jobs: dict[Origin, Job] = {}
        self._calls: dict[CallId, Job] = {}
        #: Answers kept for ingress daemons that lost their stream.
        self.finished = FinishedJobs()
        #: Bytes of the requests of other daemons that are queued or run.
        self.held_bytes = 0
        self._next_call = 1
        self._stopping = False
        #: Newest stream of each peer; dispatches on older ones are refused.
        self.epochs = StreamEpochs()
        #: Answers and refusals for this daemon's own ingress.
        self.local_replies: list[Message] = []

    @property
    def upstreams(self) -> Mapping[UpstreamId, Upstream]:
        """The upstreams beside this daemon."""
        return self.local_upstreams.by_id

    def announce(self, event: Announced, now: timedelta) -> None:
        """Apply the announcement of an upstream, unless a newer one came."""
        if self.local_upstreams.is_late(event):
            self._outbox.emit(
                Record('announcement-late', {'upstream': event.upstream})
            )
            return
        departs = event.departs
        if self._stopping:
            event = replace(event, state=UpstreamState.draining)
        for old in tuple(self.upstreams.values()):
            if self.local_upstreams.supersedes(event, old):
                self._crash_checks.crashed(old, now)
                self._expire(old, now)
                # Its calls go on until they end or time out.
                self.local_upstreams.remove(old)
        upstream = self.local_upstreams.announce(event, now, departs=departs)
        if upstream is None:
            return
        if event.state is UpstreamState.draining:
            # Queued requests would start after the upstream began to drain.
            self._refuse_queued(upstream, Reason.draining, now)
        self._start_queued(upstream, now)

    def stop(self, now: timedelta) -> None:
        """Drain all upstreams for good.

        Calls that run go on; queued requests and later ones are refused as not
        run, so that their ingress dispatches them elsewhere.
        """
        self._stopping = True
        for upstream in self.upstreams.values():
            self.local_upstreams.drain(upstream, now)
            self._refuse_queued(upstream, Reason.draining, now)

    @property
    def busy(self) -> bool:
        """Whether requests are queued or running."""
        return bool(self._jobs)

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
        if upstream is None or not upstream.accepts_work(now):
            # A process that was paused may have missed that an upstream
            # drains, so the lease is checked here as well.
            self._refuse(origin, stream, Reason.no_upstream)
            return
        admitted = self._health_admits(upstream, message)
        if admitted and message.free_slot_only and not upstream.has_free_slot:
            # Not a call, so a retry spends no budget.
            self._refuse(origin, stream, Reason.busy, upstream)
            return
        if admitted and not within_retry_budget(upstream, message):
            self._refuse(origin, stream, Reason.retry_budget, upstream)
            return
        if not admitted:
            draining = upstream.state is UpstreamState.draining
            reason = Reason.draining if draining else Reason.sick
            self._refuse(origin, stream, reason, upstream)
            return
        limit_per_s = message.rate_limit_per_s
        unknown = not upstream.heard and upstream.rate_limit is None
        if unknown and limit_per_s is not None:
            # This process has started while the limit was in force.
            upstream.limit_rate(limit_per_s, now)
        fair = self.local_upstreams.is_fair(upstream.service)
        job = new_job(
            origin,
            stream,
            message,
            upstream,
            now,
            fair=fair,
        )
        poison_status = self.poison_requests.check(job.fingerprint, now)
        if poison_status is PoisonStatus.blocked:
            self._outbox.emit(blocked_record(job))
            if stream is not None:
                # With it the ingress refuses the next copy itself.
                known = self.poison_requests.suspects_for(job.fingerprint, now)
                self._outbox.emit(Send(stream, known))
            self._refuse(origin, stream, Reason.crashes_upstreams, upstream)
            return
        job.isolated = poison_status is PoisonStatus.suspect
        self._admit(upstream, job, now)
        # Ticks are too far apart for the latency of interactive requests.
        self._preempt(upstream, now)

    def suspects_for(self, message: Dispatch, now: timedelta) -> Suspects:
        """Return the crashes known of a request that another daemon runs."""
        subject = dispatch_fingerprint(message)
        return self.poison_requests.suspects_for(subject, now)

    def accepts(self, origin: Origin, stream: StreamId | None) -> bool:
        """Return whether a request is new and its stream not superseded.

        A request on a superseded stream is refused.
        """
        if origin in self._jobs or origin in self.finished:
            return False
        if stream is None or self.epochs.is_newest(origin.daemon, stream):
            return True
        self._outbox.emit(
            Record('dispatch-superseded', {'peer': origin.daemon})
        )
        self._refuse(origin, stream, Reason.late)
        return False

    def send_owner_answer(
        self,
        origin: Origin,
        stream: StreamId | None,
        message: Answer | Refusal,
        until: timedelta,
    ) -> None:
        """Send the answer to a write that this daemon handled as key owner.

        It is also kept until ``until`` for inquiries.
        """
        reply = structs.replace(message, request=origin.request)
        if stream is not None:
            self._outbox.emit(Send(stream, reply))
        self.finished.keep(origin, reply, until)

    def cancel(self, origin: Origin, now: timedelta) -> None:
        """Stop a request whose caller no longer waits.

        A running write is not aborted, so that its result becomes known.
        """
        job = self._jobs.get(origin)
        if job is None:
            return
        if job.refusal is not None:
            self._end(job, job.refusal, now)
        elif job.call is None:
            withdraw(job)
            # As after the deadline, nobody waits for the result.
            self._end(job, not_run_refusal(job, Reason.deadline), now)
        elif job.dispatch.idempotent:
            self._abort(job, Reason.deadline, now)

    def inquire(self, origin: Origin, stream: StreamId, now: timedelta) -> None:
        """Report the state of a request to its ingress on a new stream."""
        finished = self.finished.get(origin)
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
        """End a request whose upstream sent a complete response."""
        job = self._calls.get(event.call)
        if job is None:
            return
        upstream = job.upstream
        service_ms = in_ms(now - job.started)
        self._release(job, upstream)
        fault = response_fault(event, job)
        with self._outbox.contain('answer-accounting'):
            self._crashes.send_report(
                upstream.service,
                self.poison_requests.finished(
                    job.fingerprint,
                    # A gray upstream fails requests that it has not run.
                    answered=not fault and event.status < _HTTP_ERROR,
                    now=now,
                ),
                now,
            )
            if job.new_connection and job.silent:
                # Kept connections are probably dead: the request was silent on
                # one of them, and a new one worked.
                self._outbox.emit(DropConnections(upstream.address))
            if not fault and event.status < _HTTP_ERROR:
                update_service_time(upstream, job.dispatch.route, service_ms)
            self._observe(job, _sample_kind(fault, event.status), now)
        if fault:
            self._end(
                job, unknown_refusal(job, Reason.upstream_failed, fault), now
            )
            self._start_queued(upstream, now)
            return
        answer = Answer(
            request=job.origin.request,
            status=event.status,
            headers=event.headers,
            body=event.body,
            length=len(event.body),
            digest=xxhash.xxh3_64_intdigest(event.body),
            service_ms=service_ms,
            load=load_of(self.local_upstreams.current(upstream), now),
            usual_ms=round(upstream.route_ms.get(job.dispatch.route, 0), 1),
        )
        self._end(job, answer, now)
        self._start_queued(upstream, now)

    def failed(self, event: UpstreamFailed, now: timedelta) -> None:
        """End a request whose call failed."""
        job = self._calls.get(event.call)
        if job is None:
            return
        upstream = job.upstream
        self._release(job, upstream)
        current = self.local_upstreams.is_current(upstream)
        holds_refusal = False
        with self._outbox.contain('failure-accounting'):
            holds_refusal = (
                current
                and event.fault is CallFault.reset
                and event.sent
                and self._crash_checks.reset(upstream, job, event.call, now)
            )
            self.poison_requests.finished(
                job.fingerprint, answered=False, now=now
            )
            kind = _FAULT_SAMPLES.get(event.fault)
            if kind is not None:
                self._observe(job, kind, now, fault=event.fault)
            if current and event.fault is CallFault.refused:
                self._crashed(upstream, now)
            elif current and event.fault is CallFault.replaced:
                self._expire(upstream, now)
        reason = _FAULT_REASONS.get(event.fault, Reason.upstream_failed)
        outcome = Outcome.unknown if event.sent else Outcome.not_run
        refusal = Refusal(
            request=job.origin.request,
            reason=reason,
            outcome=outcome,
            detail=str(event.failure),
            load=load_of(self.local_upstreams.current(upstream), now),
        )
        if holds_refusal:
            job.refusal = refusal
            upstream.held.append(job)
            return
        self._end(job, refusal, now)
        self._start_queued(upstream, now)

    def stated(self, event: UpstreamStated, now: timedelta) -> None:
        """Apply what an upstream states about itself in a response."""
        job = self._calls.get(event.call) if event.call else None
        if job is not None and not self.local_upstreams.is_current(
            job.upstream
        ):
            return
        upstream = self.local_upstreams.stated(event, now)
        if upstream is not None and upstream.leaving:
            self._refuse_queued(upstream, Reason.draining, now)

    def probed(self, event: Probed, now: timedelta) -> None:
        """Apply the result of a probe of an upstream."""
        if event.refused:
            upstream = self.upstreams.get(event.upstream)
            if upstream is not None:
                self._crashed(upstream, now)
        changes = self.health_tracker.probed(
            event.upstream, alive=event.alive, now=now
        )
        self.local_upstreams.apply(changes)

    def listening_checked(
        self, event: ListeningChecked, now: timedelta
    ) -> None:
        """Apply the check of a possible crash."""
        upstream = self.upstreams.get(event.upstream)
        if upstream is None:
            return
        if event.refused:
            self._crashed(upstream, now)
        self._release_held(upstream, now)

    def tick(self, now: timedelta) -> None:
        """Expire leases, deadlines and kept answers; start what may run."""
        contain = self._outbox.contain
        for upstream in tuple(self.upstreams.values()):
            if upstream.expires <= now:
                with contain('lease'):
                    self._expire(upstream, now)
        with contain('health-tick'):
            self.local_upstreams.apply(self.health_tracker.tick(now))
        self.local_upstreams.add_retries(now)
        for running in tuple(self._calls.values()):
            with contain('silence'):
                self._check_silence(running, now)
        late = [job for job in self._jobs.values() if job.deadline <= now]
        for job in late:
            step = contain('call-deadline')
            with step:
                self._end_past_deadline(job, now)
            if step.failed:
                # Whatever state it was left in, it must not be kept for ever.
                self._end(job, unknown_refusal(job, Reason.deadline, ''), now)
        for loaded in tuple(self.upstreams.values()):
            with contain('queue'):
                crash = loaded.possible_crash
                if crash is None or now >= crash.hold_until:
                    self._release_held(loaded, now)
                self._refuse_late_queued(loaded, now)
        for startable in tuple(self.upstreams.values()):
            with contain('start'):
                self._start_queued(startable, now)
                self._preempt(startable, now)
                if self.health_tracker.may_probe(startable.upstream, now):
                    self.local_upstreams.probe(startable)
        self.finished.trim(now)

    def _observe(
        self,
        job: Job,
        kind: SampleKind,
        now: timedelta,
        *,
        fault: CallFault | None = None,
    ) -> None:
        shed = fault is CallFault.shed
        self._outbox.emit(
            Record(
                'call-ended',
                {
                    'request': job.identity.decode(),
                    'tag': job.dispatch.tag,
                    'upstream': job.dispatch.upstream,
                    'kind': kind.value,
                    'fault': fault.value if fault else '',
                    'fingerprint': f'{job.fingerprint:016x}',
                    'service_ms': in_ms(now - job.started),
                },
                detail=True,
            )
        )
        sample = Sample(
            kind,
            job.dispatch.route,
            in_ms(now - job.started),
            job.dispatch.expected_ms,
            fresh=job.new_connection,
            peer_errors=job.dispatch.peer_errors,
            shed=shed,
        )
        if self.local_upstreams.is_current(job.upstream):
            self.local_upstreams.apply(
                self.health_tracker.observe(job.upstream.upstream, sample, now)
            )

    def _check_silence(self, job: Job, now: timedelta) -> None:
        """Record a call without a response in time; retry it once.

        The retry uses a new connection, because a kept one may be dead while
        new ones work. Only an idempotent request may be called again.
        """
        upstream = job.upstream
        if not self.local_upstreams.is_current(upstream):
            return
        if job.silent and (job.new_connection or not job.dispatch.idempotent):
            return
        limit_ms = self.health_tracker.silence_limit_ms(
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
        if self.local_upstreams.separate_health:
            # No attempt on a new connection: a gray upstream hangs on that too,
            # and the operating system closes dead connections.
            return
        if (
            not job.dispatch.idempotent
            or job.new_connection
            or job.call is None
        ):
            return
        if not upstream.takes_request(now) or not upstream.retries.spend():
            return
        self._crash_checks.abort(job, job.call, now)
        self._release(job, upstream)
        job.new_connection = True
        job.aborted_calls += 1
        self._start(upstream, job, now)

    def _expire(self, upstream: Upstream, now: timedelta) -> None:
        self.local_upstreams.drain(upstream, now)
        self._release_held(upstream, now)
        self._refuse_queued(upstream, Reason.draining, now)
        if not upstream.running:
            self.local_upstreams.remove(upstream)

    def _admit(self, upstream: Upstream, job: Job, now: timedelta) -> None:
        if job.dispatch.movable and upstream.queue.ahead(job.priority):
            self._refuse(job.origin, job.stream, Reason.busy, upstream)
            return
        ahead = upstream.queue.ahead(job.priority)
        if exceeds_rate_limit(upstream, job, ahead, now):
            self._refuse(job.origin, job.stream, Reason.rate_limited, upstream)
            return
        self._jobs[job.origin] = job
        if job.origin.daemon != self._own:
            self.held_bytes += job.size_bytes
        if job.isolated:
            upstream.isolation_queue.append(job)
            self._start_queued(upstream, now)
            return
        if not upstream.queue and may_start(upstream, now):
            self._start(upstream, job, now)
            return
        expected_ms = ahead_ms_of(upstream, job)
        if upstream.rate_limit is None:
            # Waiting for a rate limit says nothing about that for a slot.
            job.ahead_ms = expected_ms
        wait_ms = expected_ms * upstream.wait_factors[job.priority]
        needed_ms = wait_ms + cost_ms_of(upstream, job)
        limit_ms = completion_limit_ms_of(upstream, job, now)
        if needed_ms > limit_ms:
            self._outbox.emit(
                Record(
                    'request-overload',
                    {
                        'request': job.identity.decode(),
                        'tag': job.dispatch.tag,
                        'upstream': upstream.upstream,
                        'state': upstream.state.value,
                        'running': len(upstream.running),
                        'queued': len(upstream.queue),
                        'ahead_ms': round(expected_ms, 1),
                        'wait_factor': round(
                            upstream.wait_factors[job.priority], 2
                        ),
                        'service_ms': round(upstream.service_ms, 1),
                        'cost_ms': round(cost_ms_of(upstream, job), 1),
                        'limit_ms': round(limit_ms, 1),
                    },
                    detail=True,
                )
            )
            self._end(job, overload_refusal(job, upstream, now), now)
            return
        for refused in upstream.queue.offer(job):
            self._end(refused, overload_refusal(refused, upstream, now), now)

    def _start(self, upstream: Upstream, job: Job, now: timedelta) -> None:
        call = CallId(self._next_call)
        self._next_call += 1
        job.call = call
        job.started = now
        upstream.running[call] = job
        upstream.preemptions.earn()
        if not (job.dispatch.retry or job.aborted_calls):
            upstream.retries.earn()
        upstream.count_request(now)
        self._calls[call] = job
        self.poison_requests.started(job.fingerprint)
        message = job.dispatch
        remaining_ms = max(1, int(in_ms(job.deadline - now)))
        name = 'read-dispatched'
        if not message.idempotent:
            name = 'write-dispatched'
        self._outbox.emit(
            Record(
                name,
                {
                    'request': job.identity.decode(),
                    'tag': message.tag,
                    'upstream': upstream.upstream,
                    'state': upstream.state.value,
                    'running': len(upstream.running),
                    'limit_per_s': upstream.rate_limit_per_s,
                    'retry': message.retry,
                    'fingerprint': f'{job.fingerprint:016x}',
                    'isolated': job.isolated,
                    'waited_ms': in_ms(now - job.arrived),
                    'left_ms': remaining_ms,
                },
                detail=message.idempotent,
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
                fresh=job.new_connection,
                upstream=upstream.upstream,
                host=message.host,
                tag=message.tag,
            )
        )

    def _start_queued(self, upstream: Upstream, now: timedelta) -> None:
        if upstream.held or not upstream.accepts_work(now):
            return
        if upstream.isolation_queue:
            self._start_isolated(upstream, now)
            return
        # The request that has just ended may have changed the state.
        self._refuse_not_admitted(upstream, now)
        self._defer_overdue(upstream, now)
        while upstream.queue and may_start(upstream, now):
            job = upstream.queue.take(
                now, max(1, upstream.slots), upstream.service_ms
            )
            if job is None:
                return
            if not self._health_admits(upstream, job.dispatch):
                self._end(job, not_run_refusal(job, Reason.sick), now)
                continue
            if self._crash_checks.isolate(upstream, job, now):
                self._start_isolated(upstream, now)
                return
            update_wait_factor(upstream, job, now)
            if job.deadline - ms(job.cost_ms) <= now:
                self._end(job, not_run_refusal(job, Reason.deadline), now)
                continue
            self._start(upstream, job, now)

    def _start_isolated(self, upstream: Upstream, now: timedelta) -> None:
        """Run a suspect request while nothing else runs on the upstream.

        If it crashes the upstream again, no unrelated request is lost, and
        the crash shows which request caused it.
        """
        for blocked in self._crash_checks.take_blocked(upstream, now):
            self._end(
                blocked, not_run_refusal(blocked, Reason.crashes_upstreams), now
            )
        if not upstream.isolation_queue:
            self._start_queued(upstream, now)
            return
        job = upstream.isolation_queue[0]
        if upstream.running or not upstream.takes_request(now):
            return
        if self.poison_requests.is_running(job.fingerprint):
            return
        upstream.isolation_queue.popleft()
        self._start(upstream, job, now)

    def _crashed(self, upstream: Upstream, now: timedelta) -> None:
        """Apply that the process of an upstream has ended."""
        self._crash_checks.crashed(upstream, now)
        self.local_upstreams.apply(
            self.health_tracker.crashed(upstream.upstream, now)
        )

    def _release_held(self, upstream: Upstream, now: timedelta) -> None:
        """Send the refusals that waited for the check of a crash."""
        if not upstream.held:
            return
        held = upstream.held
        upstream.held = []
        for job in held:
            if job.refusal is not None and job.origin in self._jobs:
                self._end(job, job.refusal, now)
        self._start_queued(upstream, now)

    def _preempt(self, upstream: Upstream, now: timedelta) -> None:
        """Abort an internal request for an interactive one that waits.

        The one that started last is aborted, because it loses the least
        work.
        """
        first = upstream.queue.oldest(Priority.waiting)
        if first is None or not self.local_upstreams.preempts(upstream.service):
            return
        if not upstream.takes_request(now):
            return
        running = filter(interruptible, reversed(upstream.running.values()))
        job = next(running, None)
        if job is None or job.call is None:
            return
        lost_ms = in_ms(now - job.started)
        waited_ms = in_ms(now - first.arrived)
        just_started = lost_ms <= PREEMPT_AT_ONCE_SHARE * upstream.service_ms
        interval_ms = upstream.service_ms / max(1, upstream.slots)
        if (
            not just_started
            and waited_ms < PREEMPT_WAIT_INTERVALS * interval_ms
        ):
            return
        if not upstream.preemptions.spend(lost_ms / upstream.service_ms):
            return
        self._crash_checks.abort(job, job.call, now)
        self._release(job, upstream)
        job.aborted_calls += 1
        upstream.queue.put_back(job)
        upstream.queue.discard(first)
        self._start(upstream, first, now)

    def _release(self, job: Job, upstream: Upstream) -> None:
        if job.call is None:
            return
        self._calls.pop(job.call, None)
        upstream.running.pop(job.call, None)
        job.call = None

    def _end(self, job: Job, message: Answer | Refusal, now: timedelta) -> None:
        if self._jobs.pop(job.origin, None) is not None:
            if job.origin.daemon != self._own:
                self.held_bytes -= job.size_bytes
        refund_retry(job)
        if job.aborted_calls and isinstance(message, Refusal):
            # The upstream may have run the aborted call.
            message = structs.replace(message, outcome=Outcome.unknown)
        if job.origin.daemon == self._own:
            self.local_replies.append(message)
            return
        if job.stream is not None:
            self._outbox.emit(Send(job.stream, message))
        until = max(job.deadline, now)
        if not job.dispatch.idempotent:
            until += WRITE_GRACE + RECORD_MARGIN
        self.finished.keep(job.origin, message, until)

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
            load=load_of(upstream, self._outbox.now) if upstream else None,
        )
        if stream is None:
            self.local_replies.append(refusal)
            return
        self._outbox.emit(Send(stream, refusal))

    def _refuse_not_admitted(self, upstream: Upstream, now: timedelta) -> None:
        """Refuse queued requests that the health state no longer admits.

        Forced requests, which keep the capacity floor, stay queued.
        """
        if upstream.state not in _RESTRICTED_STATES:
            return
        for job in tuple(upstream.queue):
            if not self._health_admits(upstream, job.dispatch):
                upstream.queue.discard(job)
                self._end(job, not_run_refusal(job, Reason.sick), now)

    def _defer_overdue(self, upstream: Upstream, now: timedelta) -> None:
        """Put overdue requests last; refuse those that cannot finish."""
        for job in upstream.queue.defer_overdue(now):
            # The wait so far is a lower bound on that of later requests.
            update_wait_factor(upstream, job, now)
            job.deferred = True
            kept = can_still_finish(upstream, job, now)
            self._outbox.emit(
                Record(
                    'request-overdue',
                    {
                        'request': job.identity.decode(),
                        'tag': job.dispatch.tag,
                        'upstream': upstream.upstream,
                        'waited_ms': in_ms(now - job.arrived),
                        'left_ms': in_ms(job.deadline - now),
                        'ahead': upstream.queue.ahead(job.priority),
                        'kept': kept,
                    },
                    detail=True,
                )
            )
            if not kept:
                upstream.queue.discard(job)
                self._end(job, overload_refusal(job, upstream, now), now)

    def _refuse_late_queued(self, upstream: Upstream, now: timedelta) -> None:
        """Refuse queued requests that cannot finish before their deadline.

        Their callers learn early that they have not run.
        """
        ahead = 0
        for job in tuple(upstream.queue):
            if exceeds_rate_limit(upstream, job, ahead, now):
                upstream.queue.discard(job)
                refusal = not_run_refusal(job, Reason.rate_limited)
                self._end(job, refusal, now)
            elif is_turn_over(job, now):
                if in_ms(now - job.arrived) > job.ahead_ms:
                    update_wait_factor(upstream, job, now)
                upstream.queue.discard(job)
                self._end(job, busy_refusal(job, upstream, now), now)
            elif job.deadline - ms(cost_ms_of(upstream, job)) <= now:
                # Without this sample, later requests would be queued on the
                # same short estimate.
                update_wait_factor(upstream, job, now)
                upstream.queue.discard(job)
                self._end(job, not_run_refusal(job, Reason.deadline), now)
            else:
                ahead += 1

    def _health_admits(self, upstream: Upstream, message: Dispatch) -> bool:
        """Return whether the health of an upstream allows a request now."""
        return self.health_tracker.admits(
            upstream.upstream,
            len(upstream.running),
            idempotent=message.idempotent,
            forced=message.forced,
        )

    def _refuse_queued(
        self, upstream: Upstream, reason: Reason, now: timedelta
    ) -> None:
        while upstream.queue:
            job = upstream.queue.take()
            if job is not None:
                self._end(job, not_run_refusal(job, reason), now)
        while upstream.isolation_queue:
            isolated = upstream.isolation_queue.popleft()
            self._end(isolated, not_run_refusal(isolated, reason), now)

    def _abort(self, job: Job, reason: Reason, now: timedelta) -> None:
        upstream = job.upstream
        if job.call is not None:
            self._crash_checks.abort(job, job.call, now)
        self._release(job, upstream)
        self._end(job, unknown_refusal(job, reason, ''), now)
        self._start_queued(upstream, now)

    def _end_past_deadline(self, job: Job, now: timedelta) -> None:
        if job.origin not in self._jobs:
            # The abort of an earlier one started queued requests and ended
            # this one.
            return
        if job.refusal is not None:
            self._end(job, job.refusal, now)
            return
        if job.call is None:
            withdraw(job)
            self._end(job, not_run_refusal(job, Reason.deadline), now)
            return
        grace = ZERO if job.dispatch.idempotent else WRITE_GRACE
        if job.deadline + grace <= now:
            self._abort(job, Reason.deadline, now)


def _sample_kind(fault: str, status: int) -> SampleKind:
    if fault:
        return SampleKind.wrong
    return SampleKind.error if status >= _HTTP_ERROR else SampleKind.success
