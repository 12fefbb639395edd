"""Requests at the last hop, and the upstreams that run them."""

from collections import deque
from dataclasses import dataclass, field
from datetime import timedelta

from .admissions import Queue
from .answers import Origin
from .clocks import ZERO, in_ms, ms
from .poisonrequests import fingerprint
from .events import (
    UpstreamAnswered,
)
from .headers import REQUEST_ID, echoes, get, is_intact
from .ids import (
    CallId,
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
from .retries import RetryBudget

#: Service time assumed before the first answer of an upstream.
INITIAL_SERVICE_MS = 10.0
#: Least weight of the newest service time in the mean; the first ones count
#: alike, so that a fresh process soon knows how long its queues are.
SERVICE_TIME_WEIGHT = 0.1
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
    #: Whether later requests were let go first; its wait tells nothing then.
    set_aside: bool = False

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

    @property
    def overdue_at(self) -> timedelta | None:
        """When its start would be too late for its target latency."""
        target_ms = self.dispatch.target_ms
        if not target_ms:
            return None
        return self.arrived + ms(target_ms - self.cost_ms)


@dataclass(frozen=True, slots=True)
class Suspicion:
    """Requests that ran when a connection was reset, perhaps by a crash."""

    fingerprints: tuple[int, ...]
    streams: tuple[StreamId | None, ...]
    until: timedelta


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
    #: Whole answers that have shaped ``service_ms``.
    answers: int = 0
    wait_factors: dict[Priority, float] = field(
        default_factory=lambda: dict.fromkeys(Priority, 1.0)
    )
    retries: RetryBudget = field(default_factory=lambda: RetryBudget(0))
    confirmed: bool = True
    crashed_at: timedelta | None = None
    suspects: Suspicion | None = None
    #: Start of the process and number of its newest announcement.
    boot: int = 0
    sequence: int = 0
    trials: deque[Job] = field(default_factory=deque)

    preemptions: RetryBudget = field(
        default_factory=lambda: RetryBudget(LOST_SHARE)
    )

    @property
    def on_trial(self) -> bool:
        """Whether a suspected request waits to run or runs alone."""
        if self.trials:
            return True
        return any(job.alone for job in self.running.values())

    def takes_work(self, now: timedelta) -> bool:
        """Return whether its lease allows new work."""
        return self.confirmed and self.expires > now


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


def new_job(
    origin: Origin, stream: StreamId | None, message: Dispatch, now: timedelta
) -> Job:
    """Return the job of a dispatch that just arrived."""
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


def has_slot(upstream: Upstream) -> bool:
    """Return whether a request may start now."""
    if upstream.on_trial:
        return False
    return len(upstream.running) < upstream.slots


def interruptible(job: Job) -> bool:
    """Return whether a request may be run again later."""
    if job.priority is not Priority.internal:
        return False
    if job.given_up >= GIVEN_UP_LIMIT:
        return False
    return job.dispatch.idempotent and not job.silent


def learn_service(upstream: Upstream, service_ms: float) -> None:
    """Take the service time of an answer into the mean."""
    upstream.answers += 1
    weight = max(SERVICE_TIME_WEIGHT, 1 / upstream.answers)
    upstream.service_ms += weight * (service_ms - upstream.service_ms)


def learn_wait(upstream: Upstream, job: Job, now: timedelta) -> None:
    """Compare the wait of a request with the queue it met.

    Later requests of more urgent classes make the wait of others longer.
    """
    if not job.ahead_ms or job.given_up or job.set_aside:
        return
    factor = upstream.wait_factors[job.priority]
    found = min(in_ms(now - job.arrived) / job.ahead_ms, WAIT_FACTOR_MAX)
    factor += WAIT_WEIGHT * (found - factor)
    upstream.wait_factors[job.priority] = factor


def ahead_ms_of(upstream: Upstream, job: Job) -> float:
    """Return the work that is queued ahead of a request."""
    ahead = upstream.queue.ahead(job.priority) + 1
    return ahead * upstream.service_ms / max(1, upstream.slots)


def cost_ms_of(upstream: Upstream, job: Job) -> float:
    """Return the service time to expect of a request."""
    return job.cost_ms or upstream.service_ms


def patience_ms_of(upstream: Upstream, job: Job, now: timedelta) -> float:
    """Return the time in which a new request has to end.

    While enough overdue ones wait to fill free slots, it is not queued to
    become one of them.
    """
    left_ms = in_ms(job.deadline - now)
    target_ms = job.dispatch.target_ms
    if target_ms and upstream.queue.overdue(job.priority) >= upstream.slots:
        return min(left_ms, target_ms)
    return left_ms


def has_chance(upstream: Upstream, job: Job, now: timedelta) -> bool:
    """Return whether an overdue request is worth keeping.

    One for each slot may fill a gap, if those that go first leave it the
    time; more would wait for their deadline, while their callers could have
    been told long before.
    """
    slots = max(1, upstream.slots)
    overdue = upstream.queue.overdue(job.priority)
    if overdue > slots:
        return False
    rounds = (upstream.queue.ahead(job.priority) + overdue) / slots
    wait_ms = rounds * upstream.service_ms * upstream.wait_factors[job.priority]
    return wait_ms + cost_ms_of(upstream, job) <= in_ms(job.deadline - now)


def not_run(job: Job, reason: Reason) -> Refusal:
    """Return the refusal of a request that did not run."""
    return Refusal(
        request=job.origin.request, reason=reason, outcome=Outcome.not_run
    )


def fault_in(event: UpstreamAnswered, job: Job) -> str:
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


def unknown(job: Job, reason: Reason, detail: str) -> Refusal:
    """Return the refusal of a request that may have run."""
    return Refusal(
        request=job.origin.request,
        reason=reason,
        outcome=Outcome.unknown,
        detail=detail,
    )


def overloaded(job: Job, upstream: Upstream) -> Refusal:
    """Return the refusal of a request for load."""
    return Refusal(
        request=job.origin.request,
        reason=Reason.overloaded,
        outcome=Outcome.not_run,
        retry_after_ms=RETRY_AFTER_MS,
        load=load_of(upstream),
    )
