"""Requests at the egress, and the upstreams that run them."""

import math
from collections import deque
from dataclasses import dataclass, field
from datetime import timedelta

from .admissions import Queue
from .answers import Origin
from .clocks import ZERO, in_ms, ms
from .poisonrequests import dispatch_fingerprint
from .events import (
    UpstreamAnswered,
)
from .headers import REQUEST_ID, echoes, get, is_intact
from .ids import (
    CallId,
    RouteName,
    ServiceName,
    StreamId,
    UpstreamId,
)
from .messages import (
    Dispatch,
    Load,
    Priority,
    Refusal,
    UpstreamState,
)
from .outcomes import Outcome, Reason
from .ratelimits import START_MARGIN, RateLimit
from .retries import RetryBudget

#: Service time assumed before the first response of an upstream.
INITIAL_SERVICE_MS = 10.0
#: Minimum weight of the newest service time in the moving mean. The first
#: samples weigh the same, so that the mean is usable soon after a start.
SERVICE_TIME_WEIGHT = 0.1
#: Weight of the newest sample in the ratio of actual to estimated waits.
WAIT_WEIGHT = 0.1
WAIT_FACTOR_MAX = 10
#: Aborted calls after which a request is no longer preempted.
ABORTED_CALLS_LIMIT = 3
#: Work lost to preemption as a share of started work: goodput under
#: overload must stay at 95% of capacity.
PREEMPTED_WORK_SHARE = 0.037
#: Part of its target latency in which a new request must be expected to end
#: in an overload; service times vary.
TARGET_SHARE = 0.85
#: Most aborted calls kept for each upstream; the oldest are dropped first.
ABORTED_LIMIT = 64
#: ``Retry-After`` of a request that is refused because of overload.
RETRY_AFTER_MS = 1000


@dataclass(slots=True, eq=False)
class Job:
    """A request from its dispatch to its end."""

    origin: Origin
    stream: StreamId | None
    dispatch: Dispatch
    #: Where it is queued or runs. A later process may have the same id.
    upstream: 'Upstream'
    arrived: timedelta
    deadline: timedelta
    priority: Priority
    size_bytes: int
    fingerprint: int
    #: Account of the caller and its team, which share the slots.
    account: str
    team: str
    #: Expected service time; 0 if it is not known.
    cost_ms: float = 0
    isolated: bool = False
    call: CallId | None = None
    started: timedelta = ZERO
    new_connection: bool = False
    silent: bool = False
    aborted_calls: int = 0
    ahead_ms: float = 0
    #: Whether later requests could start first; its wait is no sample then.
    deferred: bool = False
    #: Its refusal while that waits for the check of a possible crash.
    refusal: Refusal | None = None

    @property
    def identity(self) -> bytes:
        """Identity of the request over the whole fleet."""
        origin = self.origin
        name = f'{origin.daemon}/{origin.incarnation}/{origin.request}'
        return name.encode()

    @property
    def overdue_at(self) -> timedelta | None:
        """Start that is too late for its target latency; None without one."""
        target_ms = self.dispatch.target_ms
        if not target_ms:
            return None
        return self.arrived + ms(target_ms - self.cost_ms)

    @property
    def hopeless_at(self) -> timedelta:
        """Start that is too late for its deadline."""
        return self.deadline - ms(self.cost_ms)


@dataclass(frozen=True, slots=True)
class PossibleCrash:
    """Requests in flight when a connection was reset, perhaps by a crash."""

    calls: frozenset[CallId]
    fingerprints: tuple[int, ...]
    streams: tuple[StreamId | None, ...]
    #: A refused connection before this time confirms the crash.
    until: timedelta
    #: Until this time refusals wait for the check.
    hold_until: timedelta


@dataclass(frozen=True, slots=True)
class AbortedCall:
    """A call that was aborted and that its upstream may still run."""

    fingerprint: int
    stream: StreamId | None
    at: timedelta


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
    #: Responses counted in ``service_ms``.
    answers: int = 0
    #: Moving mean of the service times of each route.
    route_ms: dict[RouteName, float] = field(default_factory=dict)
    wait_factors: dict[Priority, float] = field(
        default_factory=lambda: dict.fromkeys(Priority, 1.0)
    )
    retries: RetryBudget = field(default_factory=lambda: RetryBudget(0))
    confirmed: bool = True
    reset_checked_at: timedelta | None = None
    possible_crash: PossibleCrash | None = None
    #: Calls that were in flight at its last crash.
    crashed_calls: frozenset[CallId] = frozenset()
    #: Newest aborted calls, oldest first.
    aborted: deque[AbortedCall] = field(
        default_factory=lambda: deque(maxlen=ABORTED_LIMIT)
    )
    #: Requests whose refusal waits for the check of a possible crash.
    held: list[Job] = field(default_factory=list)
    #: Identity of the process start, and number of its newest announcement.
    boot: int = 0
    sequence: int = 0
    isolation_queue: deque[Job] = field(default_factory=deque)
    #: None while it names no limit.
    rate_limit: RateLimit | None = None
    #: Whether a response of it has arrived since this process started.
    heard: bool = False
    #: Whether it has stated in a response that it is leaving.
    leaving: bool = False

    preemptions: RetryBudget = field(
        default_factory=lambda: RetryBudget(PREEMPTED_WORK_SHARE)
    )

    @property
    def isolating(self) -> bool:
        """Whether a suspect request runs alone or waits to do so."""
        if self.isolation_queue:
            return True
        return any(job.isolated for job in self.running.values())

    @property
    def rate_limit_per_s(self) -> float | None:
        """Requests per second that it takes from the whole fleet."""
        return self.rate_limit.limit_per_s if self.rate_limit else None

    def limit_rate(self, limit_per_s: float | None, now: timedelta) -> None:
        """Set or remove the limit; running requests count as taken."""
        if limit_per_s is None:
            self.rate_limit = None
        elif self.rate_limit is None:
            self.rate_limit = RateLimit(limit_per_s, len(self.running), now)
        else:
            self.rate_limit.change(limit_per_s, now)

    def takes_request(self, now: timedelta) -> bool:
        """Return whether its rate limit allows a request now."""
        return self.rate_limit is None or self.rate_limit.admits(now)

    def count_request(self, now: timedelta) -> None:
        """Count a request or probe that is sent to it."""
        if self.rate_limit is not None:
            self.rate_limit.spend(now)

    def limit_wait(self, ahead: int, now: timedelta) -> timedelta:
        """Return how long a request behind ``ahead`` others waits for it."""
        if self.rate_limit is None:
            return ZERO
        return self.rate_limit.wait(ahead, now)

    @property
    def has_free_slot(self) -> bool:
        """Whether a request would start without waiting for a slot."""
        if self.queue or self.isolating or self.held:
            return False
        return len(self.running) < self.slots

    def accepts_work(self, now: timedelta) -> bool:
        """Return whether its lease allows new work."""
        return self.confirmed and self.expires > now


def load_of(upstream: Upstream, now: timedelta) -> Load:
    """Return the load that is reported with answers and refusals."""
    return Load(
        in_flight=len(upstream.running),
        queued=len(upstream.queue),
        slots=upstream.slots,
        service_ms=upstream.service_ms,
        state=upstream.state,
        ahead=tuple(map(upstream.queue.ahead, Priority)),
        rate_limit_per_s=upstream.rate_limit_per_s,
        limit_wait_ms=math.ceil(
            in_ms(upstream.limit_wait(len(upstream.queue), now))
        ),
        leaving_boot=upstream.boot if upstream.leaving else None,
    )


def new_job(
    origin: Origin,
    stream: StreamId | None,
    message: Dispatch,
    upstream: Upstream,
    now: timedelta,
    *,
    fair: bool = True,
) -> Job:
    """Return the job of a dispatch that just arrived.

    Its expected service time is that of its route at the upstream if its
    ingress knows none. Without ``fair`` all jobs belong to one account.
    """
    account = message.caller if fair else ''
    team = message.team or f'account {account}'
    return Job(
        origin=origin,
        stream=stream,
        dispatch=message,
        upstream=upstream,
        arrived=now,
        deadline=now + ms(message.remaining_ms),
        priority=message.priority,
        size_bytes=len(message.body) + len(message.target),
        fingerprint=dispatch_fingerprint(message),
        account=account,
        team=team if fair else '',
        cost_ms=message.expected_ms or upstream.route_ms.get(message.route, 0),
    )


def within_retry_budget(upstream: Upstream, message: Dispatch) -> bool:
    """Return whether a request may be called here; a retry spends budget.

    All ingress daemons share this budget, so that the share of retries that an
    upstream receives does not depend on their number. A first call earns when
    it starts, as one request may be offered to several upstreams.
    """
    if message.hedge:
        return upstream.retries.spend_spare()
    return not message.retry or upstream.retries.spend()


def refund_retry(job: Job) -> None:
    """Give back the budget of a retry that did not reach its upstream."""
    if job.dispatch.retry and not job.started:
        job.upstream.retries.add(1)


def withdraw(job: Job) -> None:
    """Remove a request that has not started from its queue."""
    if job.isolated:
        job.upstream.isolation_queue.remove(job)
    else:
        job.upstream.queue.discard(job)


def may_start(upstream: Upstream, now: timedelta) -> bool:
    """Return whether a request may start now."""
    if upstream.isolating or upstream.held or not upstream.takes_request(now):
        return False
    return len(upstream.running) < upstream.slots


def interruptible(job: Job) -> bool:
    """Return whether a request may be aborted and run again later."""
    if job.priority is not Priority.internal:
        return False
    if job.aborted_calls >= ABORTED_CALLS_LIMIT:
        return False
    return job.dispatch.idempotent and not job.silent


def update_service_time(
    upstream: Upstream, route: RouteName, service_ms: float
) -> None:
    """Add the service time of a response to the moving means."""
    upstream.answers += 1
    weight = max(SERVICE_TIME_WEIGHT, 1 / upstream.answers)
    upstream.service_ms += weight * (service_ms - upstream.service_ms)
    route_ms = upstream.route_ms.get(route, service_ms)
    route_ms += SERVICE_TIME_WEIGHT * (service_ms - route_ms)
    upstream.route_ms[route] = route_ms


def update_wait_factor(upstream: Upstream, job: Job, now: timedelta) -> None:
    """Update the ratio of actual to estimated waits of a priority class.

    It exceeds 1 where later requests of more urgent classes start first.
    """
    if not job.ahead_ms or job.aborted_calls or job.deferred:
        return
    factor = upstream.wait_factors[job.priority]
    found = min(in_ms(now - job.arrived) / job.ahead_ms, WAIT_FACTOR_MAX)
    factor += WAIT_WEIGHT * (found - factor)
    upstream.wait_factors[job.priority] = factor


def ahead_ms_of(upstream: Upstream, job: Job) -> float:
    """Return the wait in ms to expect from the requests queued ahead.

    The first slot becomes free after a mean service time at most, divided by
    the slots.
    """
    queued_ms = queued_ms_of(upstream, job)
    return (queued_ms + upstream.service_ms) / max(1, upstream.slots)


def queued_ms_of(upstream: Upstream, job: Job) -> float:
    """Return the work in ms that is queued ahead of a request."""
    return sum(
        cost_ms_of(upstream, other) for other in upstream.queue.before(job)
    )


def cost_ms_of(upstream: Upstream, job: Job) -> float:
    """Return the expected service time of a request in ms."""
    return job.cost_ms or upstream.service_ms


def completion_limit_ms_of(
    upstream: Upstream, job: Job, now: timedelta
) -> float:
    """Return the time in ms in which a new request must finish.

    While late requests with less time left could fill all slots, it must
    finish within its target latency. Otherwise it would wait until it is
    overdue and be refused then.
    """
    left_ms = in_ms(job.deadline - now)
    target_ms = job.dispatch.target_ms
    if not target_ms:
        return left_ms
    slots = max(1, upstream.slots)
    late = upstream.queue.late_before(job, now, slots, upstream.service_ms)
    if late < slots:
        return left_ms
    return min(left_ms, target_ms * TARGET_SHARE)


def can_still_finish(upstream: Upstream, job: Job, now: timedelta) -> bool:
    """Return whether an overdue request may finish before its deadline.

    One for each slot is kept, if those ahead of it leave enough time. More
    would wait in vain until their deadline; refused at once, their callers
    can retry much earlier.
    """
    slots = max(1, upstream.slots)
    if upstream.queue.overdue_before(job) >= slots:
        return False
    first = upstream.queue.overdue_goes_first(
        job, now, slots, upstream.service_ms
    )
    queued_ms = 0 if first else queued_ms_of(upstream, job)
    wait_ms = queued_ms / slots * upstream.wait_factors[job.priority]
    return wait_ms + cost_ms_of(upstream, job) <= in_ms(job.deadline - now)


def not_run_refusal(job: Job, reason: Reason) -> Refusal:
    """Return the refusal of a request that did not run."""
    return Refusal(
        request=job.origin.request, reason=reason, outcome=Outcome.not_run
    )


def response_fault(event: UpstreamAnswered, job: Job) -> str:
    """Return how a response is wrong; empty if no fault is found."""
    message = job.dispatch
    identity = get(event.headers, REQUEST_ID.lower())
    if identity is not None and identity != job.identity:
        return 'the response names another request'
    if not echoes(message.headers, event.headers, message.echo):
        return f'the response does not echo the header {message.echo}'
    if message.method != b'HEAD' and not is_intact(event.headers, event.body):
        return 'the response body does not match its Content-Digest'
    return ''


def unknown_refusal(job: Job, reason: Reason, detail: str) -> Refusal:
    """Return the refusal of a request that may have run."""
    return Refusal(
        request=job.origin.request,
        reason=reason,
        outcome=Outcome.unknown,
        detail=detail,
    )


def exceeds_rate_limit(
    upstream: Upstream, job: Job, ahead: int, now: timedelta
) -> bool:
    """Return whether the rate limit lets a request start too late.

    ``ahead`` requests are queued before it.
    """
    wait = upstream.limit_wait(ahead, now)
    if not wait:
        return False
    if now + wait > job.arrived + ms(job.dispatch.limit_wait_ms):
        return True
    needed = wait + START_MARGIN + ms(cost_ms_of(upstream, job))
    return now + needed > job.deadline


def is_turn_over(job: Job, now: timedelta) -> bool:
    """Return whether a request has waited long enough for a slot here."""
    turn_ms = job.dispatch.queue_turn_ms
    return bool(turn_ms) and now - job.arrived >= ms(turn_ms)


def busy_refusal(job: Job, upstream: Upstream, now: timedelta) -> Refusal:
    """Return the refusal of a request that did not get a slot in time."""
    return Refusal(
        request=job.origin.request,
        reason=Reason.busy,
        outcome=Outcome.not_run,
        load=load_of(upstream, now),
    )


def overload_refusal(job: Job, upstream: Upstream, now: timedelta) -> Refusal:
    """Return the refusal of a request because of overload."""
    return Refusal(
        request=job.origin.request,
        reason=Reason.overloaded,
        outcome=Outcome.not_run,
        retry_after_ms=RETRY_AFTER_MS,
        load=load_of(upstream, now),
    )
