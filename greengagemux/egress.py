"""Lifecycle of requests at the last hop, beside their upstreams."""

from collections.abc import Mapping
from datetime import timedelta
from types import MappingProxyType

import xxhash
from msgspec import structs

from .answers import RECORD_MARGIN, WRITE_GRACE, FinishedJobs, Origin
from .clocks import ZERO, in_ms, ms
from .poisonrequests import PoisonStatus, fingerprint
from .crashes import CRASH_WINDOW, CrashReports
from .detectors import Sample, SampleKind
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
from .headers import DEADLINE, REQUEST_ID
from .ids import (
    CallId,
    DaemonId,
    StreamId,
    UpstreamId,
)
from .jobs import (
    Job,
    Suspicion,
    Upstream,
    ahead_ms_of,
    cost_ms_of,
    fault_in,
    has_chance,
    has_slot,
    interruptible,
    learn_service,
    learn_wait,
    load_of,
    new_job,
    not_run,
    overloaded,
    patience_ms_of,
    unknown,
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

#: A person interrupts an internal request that has run for less than this
#: share of the mean service time, because little work is lost.
CHEAP_SHARE = 0.2
#: A person who has waited for this many times the mean interval between two
#: free slots interrupts any; most slots become free earlier by themselves.
PREEMPT_INTERVALS = 1.5

#: Where resets are common, those of a crash are told from others by a refused
#: connection within this time.
CONFIRM_CRASH = timedelta(seconds=2)

_HTTP_ERROR = 500
#: States in which an upstream gets only some of the requests.
_DOUBTED = frozenset((UpstreamState.sick, UpstreamState.probation))


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
        self._poison_requests = crashes.poison_requests
        #: The upstreams and their states.
        self.hosted = Upstreams(outbox, health_tracker, lease)
        self._jobs: dict[Origin, Job] = {}
        self._calls: dict[CallId, Job] = {}
        self._finished = FinishedJobs()
        self._next_call = 1
        #: Which streams of peers may bring requests.
        self.epochs = StreamEpochs()
        #: Replies to requests of this daemon's own entrance.
        self.local_replies: list[Message] = []

    @property
    def upstreams(self) -> Mapping[UpstreamId, Upstream]:
        """The upstreams beside this daemon."""
        return self.hosted.by_id

    def announce(self, event: Announced, now: timedelta) -> None:
        """Take in what an upstream says of itself."""
        if self.hosted.is_late(event):
            self._outbox.emit(
                Record('announcement-late', {'upstream': event.upstream})
            )
            return
        for old in tuple(self.upstreams.values()):
            if self.hosted.supersedes(event, old):
                self._expire(old, now)
        upstream = self.hosted.announce(event, now)
        if upstream is None:
            return
        if event.state is UpstreamState.draining:
            # What waits here would reach the upstream after its notice.
            self._refuse_queued(upstream, Reason.draining, now)
        self._fill(upstream, now)

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
        if upstream is None or not upstream.takes_work(now):
            # A process that was paused may not have seen that an upstream
            # is leaving, so the lease is checked here as well.
            self._refuse(origin, stream, Reason.no_upstream)
            return
        admitted = self._fits(upstream, message)
        if admitted and not self._may_call(upstream, message):
            self._refuse(origin, stream, Reason.retry_budget, upstream)
            return
        if not admitted:
            draining = upstream.state is UpstreamState.draining
            reason = Reason.draining if draining else Reason.sick
            self._refuse(origin, stream, reason, upstream)
            return
        job = new_job(origin, stream, message, now)
        verdict = self._poison_requests.check(job.fingerprint, now)
        if verdict is PoisonStatus.convicted:
            self._refuse(origin, stream, Reason.crashes_upstreams, upstream)
            return
        job.alone = verdict is PoisonStatus.suspect
        self._admit(upstream, job, now)
        # Ticks alone are too far apart for the wait of a person.
        self._preempt(upstream, now)

    def hint(self, message: Dispatch, now: timedelta) -> Suspects:
        """Return what is known of a request that another daemon will run."""
        subject = fingerprint(message.method, message.target, message.body)
        return self._poison_requests.hint(subject, now)

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
            self._end(job, not_run(job, Reason.deadline), now)
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
            self._poison_requests.finished(
                job.fingerprint, answered=True, now=now
            ),
        )
        if job.fresh and job.silent:
            # The kept connections have gone silent and new ones work.
            self._outbox.emit(DropConnections(upstream.address))
        fault = fault_in(event, job)
        if fault:
            self._observe(job, SampleKind.wrong, now)
            self._end(job, unknown(job, Reason.upstream_failed, fault), now)
            self._fill(upstream, now)
            return
        kind = SampleKind.success
        if event.status >= _HTTP_ERROR:
            kind = SampleKind.error
        else:
            learn_service(upstream, service_ms)
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
        self._poison_requests.finished(job.fingerprint, answered=False, now=now)
        kind = _FAULT_SAMPLES.get(event.fault)
        if kind is not None:
            self._observe(job, kind, now)
        if event.fault is CallFault.refused:
            self._report_crash(upstream, now)
            self.hosted.apply(
                self.health_tracker.crashed(upstream.upstream, now)
            )
        elif event.fault is CallFault.replaced:
            self._expire(upstream, now)
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
            upstream = self.upstreams.get(event.upstream)
            if upstream is not None:
                self._report_crash(upstream, now)
            self.hosted.apply(self.health_tracker.crashed(event.upstream, now))
        changes = self.health_tracker.probed(
            event.upstream, alive=event.alive, now=now
        )
        self.hosted.apply(changes)

    def tick(self, now: timedelta) -> None:
        """Expire leases, deadlines and kept answers."""
        for upstream in tuple(self.upstreams.values()):
            if upstream.expires <= now:
                self._expire(upstream, now)
        self.hosted.apply(self.health_tracker.tick(now))
        for running in tuple(self._calls.values()):
            self._check_silence(running, now)
        late = [job for job in self._jobs.values() if job.deadline <= now]
        for job in late:
            self._end_late(job, now)
        for queueing in self.upstreams.values():
            self._refuse_hopeless(queueing, now)
        for waiting in self.upstreams.values():
            self._fill(waiting, now)
            self._preempt(waiting, now)
            if self.health_tracker.may_probe(waiting.upstream, now):
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

    def _observe(self, job: Job, kind: SampleKind, now: timedelta) -> None:
        self._outbox.emit(
            Record(
                'call-ended',
                {
                    'request': job.identity.decode(),
                    'tag': job.dispatch.tag,
                    'upstream': job.dispatch.upstream,
                    'kind': kind.value,
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
            fresh=job.fresh,
            peer_errors=job.dispatch.peer_errors,
        )
        upstream = job.dispatch.upstream
        self.hosted.apply(self.health_tracker.observe(upstream, sample, now))

    def _check_silence(self, job: Job, now: timedelta) -> None:
        """Count a request that is too old, and try a new connection once.

        A kept connection may have gone silent while new ones work; only an
        idempotent request can tell by being called again.
        """
        upstream = self.upstreams[job.dispatch.upstream]
        if job.silent and (job.fresh or not job.dispatch.idempotent):
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
        if self.hosted.health_apart:
            # A gray upstream hangs on new connections too, and the system
            # ends a connection that has gone silent.
            return
        if not job.dispatch.idempotent or job.fresh or job.call is None:
            return
        if not upstream.retries.spend():
            return
        self._outbox.emit(AbortCall(job.call))
        self._release(job, upstream)
        self._poison_requests.finished(job.fingerprint, answered=False, now=now)
        job.fresh = True
        job.given_up += 1
        self._start(upstream, job, now)

    def _expire(self, upstream: Upstream, now: timedelta) -> None:
        if upstream.announced is not UpstreamState.draining:
            upstream.announced = UpstreamState.draining
            self.hosted.announce_state(upstream, now)
        self._refuse_queued(upstream, Reason.draining, now)
        if not upstream.running:
            self.hosted.remove(upstream)

    def _admit(self, upstream: Upstream, job: Job, now: timedelta) -> None:
        if job.dispatch.movable and upstream.queue.ahead(job.priority):
            self._refuse(job.origin, job.stream, Reason.busy, upstream)
            return
        self._jobs[job.origin] = job
        if job.alone:
            upstream.trials.append(job)
            self._fill(upstream, now)
            return
        if not upstream.queue and has_slot(upstream):
            self._start(upstream, job, now)
            return
        job.ahead_ms = ahead_ms_of(upstream, job)
        wait_ms = job.ahead_ms * upstream.wait_factors[job.priority]
        needed_ms = wait_ms + cost_ms_of(upstream, job)
        if needed_ms > patience_ms_of(upstream, job, now):
            self._end(job, overloaded(job, upstream), now)
            return
        for refused in upstream.queue.offer(job):
            self._end(refused, overloaded(refused, upstream), now)

    def _start(self, upstream: Upstream, job: Job, now: timedelta) -> None:
        call = CallId(self._next_call)
        self._next_call += 1
        job.call = call
        job.started = now
        upstream.running[call] = job
        upstream.preemptions.earn()
        self._calls[call] = job
        self._poison_requests.started(job.fingerprint)
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
                fresh=job.fresh,
                upstream=upstream.upstream,
                host=message.host,
                tag=message.tag,
            )
        )

    def _fill(self, upstream: Upstream, now: timedelta) -> None:
        if not upstream.takes_work(now):
            return
        if upstream.trials:
            self._try_alone(upstream, now)
            return
        # The request that has just ended may have changed the state.
        self._refuse_unfit(upstream, now)
        self._set_overdue_aside(upstream, now)
        while upstream.queue and has_slot(upstream):
            job = upstream.queue.take()
            if job is None:
                return
            if not self._fits(upstream, job.dispatch):
                self._end(job, not_run(job, Reason.sick), now)
                continue
            learn_wait(upstream, job, now)
            if job.deadline - ms(job.cost_ms) <= now:
                self._end(job, not_run(job, Reason.deadline), now)
                continue
            self._start(upstream, job, now)

    def _try_alone(self, upstream: Upstream, now: timedelta) -> None:
        """Run a suspected request when nothing else runs there.

        Should it crash the upstream again, no innocent request is hit, and
        the crash proves what caused it.
        """
        job = upstream.trials[0]
        if upstream.running or self._poison_requests.on_trial(job.fingerprint):
            return
        upstream.trials.popleft()
        verdict = self._poison_requests.check(job.fingerprint, now)
        if verdict is PoisonStatus.convicted:
            self._end(job, not_run(job, Reason.crashes_upstreams), now)
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
        upstream.suspects = Suspicion(
            tuple(each.fingerprint for each in hit),
            tuple(each.stream for each in hit),
            now + CONFIRM_CRASH,
        )
        if not self.hosted.health_apart:
            self._report_crash(upstream, now)

    def _report_crash(self, upstream: Upstream, now: timedelta) -> None:
        """Tell of the requests that ran when an upstream ended."""
        suspects = upstream.suspects
        upstream.suspects = None
        if suspects is None or now >= suspects.until:
            return
        self._crashes.crashed(
            upstream.service, suspects.fingerprints, suspects.streams, now
        )

    def _preempt(self, upstream: Upstream, now: timedelta) -> None:
        """Interrupt an internal request for a person who waits too long.

        The one that started last is interrupted, because it loses the least
        work.
        """
        first = upstream.queue.oldest(Priority.waiting)
        if first is None or not self.hosted.preempts(upstream.service):
            return
        running = filter(interruptible, reversed(upstream.running.values()))
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
        self._poison_requests.finished(job.fingerprint, answered=False, now=now)
        job.given_up += 1
        upstream.queue.put_back(job)
        upstream.queue.discard(first)
        self._start(upstream, first, now)

    def _probe(self, upstream: Upstream) -> None:
        path = self.hosted.health_path(upstream.service)
        self._outbox.emit(
            ProbeUpstream(upstream.upstream, upstream.address, path)
        )

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
        until = max(job.deadline, now)
        if not job.dispatch.idempotent:
            until += WRITE_GRACE + RECORD_MARGIN
        self._finished.keep(job.origin, message, until)

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

    def _refuse_unfit(self, upstream: Upstream, now: timedelta) -> None:
        """Send queued requests elsewhere that the upstream must not get.

        What the floor forces stays.
        """
        if upstream.state not in _DOUBTED:
            return
        for job in tuple(upstream.queue):
            if not self._fits(upstream, job.dispatch):
                upstream.queue.discard(job)
                self._end(job, not_run(job, Reason.sick), now)

    def _set_overdue_aside(self, upstream: Upstream, now: timedelta) -> None:
        """Put overdue requests last; refuse those that could not end."""
        for job in upstream.queue.set_overdue_aside(now):
            # Waits so far bound those of the requests that come next.
            learn_wait(upstream, job, now)
            job.set_aside = True
            kept = has_chance(upstream, job, now)
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
                self._end(job, overloaded(job, upstream), now)

    def _refuse_hopeless(self, upstream: Upstream, now: timedelta) -> None:
        """Refuse queued requests that can no longer end in time.

        Their callers learn early that they have not run.
        """
        for job in tuple(upstream.queue):
            if job.deadline - ms(cost_ms_of(upstream, job)) <= now:
                # Later requests must not be given the same hope.
                learn_wait(upstream, job, now)
                upstream.queue.discard(job)
                self._end(job, not_run(job, Reason.deadline), now)

    def _fits(self, upstream: Upstream, message: Dispatch) -> bool:
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
                self._end(job, not_run(job, reason), now)
        while upstream.trials:
            tried = upstream.trials.popleft()
            self._end(tried, not_run(tried, reason), now)

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
            self._poison_requests.finished(
                job.fingerprint, answered=False, now=now
            )
        self._release(job, upstream)
        self._end(job, unknown(job, reason, ''), now)
        self._fill(upstream, now)

    def _end_late(self, job: Job, now: timedelta) -> None:
        if job.origin not in self._jobs:
            # Ended when the abort of an earlier one refilled its slot.
            return
        if job.call is None:
            self._discard(job)
            self._end(job, not_run(job, Reason.deadline), now)
            return
        grace = ZERO if job.dispatch.idempotent else WRITE_GRACE
        if job.deadline + grace <= now:
            self._abort(job, Reason.deadline, now)
