"""Pending requests of an ingress, and the responses to their callers."""

import json
from dataclasses import dataclass, field
from datetime import timedelta
from types import MappingProxyType

from . import headers
from .answers import Origin
from .assignments import Slot
from .bundles import Caller, Route, Service
from .clocks import ZERO, ms
from .selection import Candidate
from .effects import Respond
from .ids import (
    DaemonId,
    ExchangeId,
    Incarnation,
    RequestId,
    ServiceName,
    StreamId,
    UpstreamId,
)
from .messages import Answer, Headers, Priority
from .outcomes import Outcome, Reason

#: Minimum ``Retry-After``, which HTTP gives in whole seconds.
RETRY_AFTER_MS = 1000

#: Times that an egress refuses an interactive request instead of queueing it.
MOVE_LIMIT = 3

#: A request is expected to end within this many times its usual time.
USUAL_TIMES = 4
#: Upstreams without a free slot among which a request is queued again after its
#: turn in a queue; one of them is that of the queue.
LATER_FULL = 2

_STATUSES = MappingProxyType(
    {
        Reason.bad_request: 400,
        Reason.unauthorized: 401,
        Reason.no_route: 404,
        Reason.method_not_allowed: 405,
        Reason.body_too_large: 413,
        Reason.key_conflict: 409,
        Reason.caller_limit: 429,
        Reason.allotment: 429,
        Reason.crashes_upstreams: 422,
    }
)
_NOT_RUN_STATUS = 503
_LOST_STATUS = 502
_UNKNOWN_STATUSES = MappingProxyType(
    {
        Reason.deadline: 504,
        Reason.key_in_progress: 409,
        Reason.no_home: 503,
        Reason.overloaded: 503,
        Reason.no_bundle: 503,
    }
)
_RETRY_STATUSES = frozenset((429, 503))


@dataclass(slots=True, eq=False)
class Attempt:
    """One dispatch of a pending request.

    ``stream`` is None while it runs on this daemon. ``lost`` is set while the
    stream is down. ``link_bytes`` is charged for the answer to the budget of
    the link between regions, and ``queue_ms`` is the expected queueing time.
    """

    request: RequestId
    candidate: Candidate
    forced: bool
    sent_at: timedelta
    expected_ms: float
    stream: StreamId | None = None
    incarnation: Incarnation = Incarnation(0)
    lost: bool = False
    queue_ms: float = 0
    #: Whether the egress queues it for the rate limit of the upstream.
    waits: bool = False
    #: Whether the egress refuses it unless a slot is free.
    free_slot_only: bool = False
    #: Whether a second attempt beside it found no place.
    hedge_failed: bool = False
    #: Whether it is a second attempt within the limit of extra attempts.
    hedge: bool = False
    link_bytes: float = 0

    @property
    def daemon(self) -> DaemonId:
        """Daemon beside the selected upstream, or the owner of the key."""
        return self.candidate.daemon


@dataclass(frozen=True, slots=True)
class StopWindow:
    """The rest of a planned stop, after its notice."""

    begins_at: timedelta
    #: Time at which the process ends and cuts off what still runs.
    ends_at: timedelta

    def cuts_off(self, pending: 'PendingRequest', now: timedelta) -> bool:
        """Return whether a new request could be cut off while it runs.

        In the first half it is taken if its usual time leaves a margin, later
        only if its deadline passes before the end.
        """
        if pending.deadline <= self.ends_at:
            return False
        middle = self.begins_at + (self.ends_at - self.begins_at) / 2
        if now >= middle or not pending.usual_ms:
            return True
        return now + ms(USUAL_TIMES * pending.usual_ms) > self.ends_at


@dataclass(frozen=True, slots=True)
class DispatchPermit:
    """Right to run a keyed write during one term of its slot's owner."""

    slot: Slot
    term: int


@dataclass(slots=True, eq=False)
class PendingRequest:
    """A caller's request from its arrival to its final answer."""

    exchange: ExchangeId
    route: Route
    caller: Caller
    method: bytes
    target: bytes
    headers: Headers
    body: bytes
    priority: Priority
    arrived: timedelta
    deadline: timedelta
    host: bytes = b''
    #: Request id that the caller sent; empty for none.
    tag: str = ''
    #: Median service time of its route; 0 if it is unknown.
    usual_ms: float = 0
    #: Its service, as configured when the request arrived.
    service: Service = Service(ServiceName(''))
    attempts: dict[RequestId, Attempt] = field(default_factory=dict)
    excluded: set[UpstreamId] = field(default_factory=set)
    #: Those that are excluded because the path to them is opening.
    unopened: list[Candidate] = field(default_factory=list)
    reroutes: int = 0
    #: Refusals of retries for which an upstream had no budget.
    retry_refusals: int = 0
    #: Those excluded because they had no budget for a retry of it.
    retry_refusers: set[UpstreamId] = field(default_factory=set)
    retries: int = 0
    #: Whether its last retry is a second attempt within ``hedge_extra_pct``.
    hedged: bool = False
    #: When a second attempt that found no place may be tried again.
    hedge_again_at: timedelta = ZERO
    #: Whether the limit of extra attempts has refused it a second attempt.
    hedge_limited: bool = False
    #: Upstreams that were called for it and may have run it.
    runs: int = 0
    moves: int = 0
    #: Upstreams that had no free slot for it.
    full: list[Candidate] = field(default_factory=list)
    #: Upstreams that it was sent to beyond a free slot; it is queued there once.
    queued_at: set[UpstreamId] = field(default_factory=set)
    #: How often it was in a queue without getting a slot in time.
    queue_turns: int = 0
    #: Tries for a free slot that it gets in its region; None if it gets all of
    #: its service.
    tries_limit: int | None = None
    #: Refusals because of a rate limit.
    limit_refusals: int = 0
    #: Whether the upstream on this host has sent it while it runs another.
    nested_call: bool = False
    #: Whether an upstream refused it because of overload.
    overloaded: bool = False
    may_have_run: bool = False
    called: bool = False
    last_reason: Reason = Reason.no_upstream
    fallback: Answer | None = None
    done: bool = False
    #: Idempotency key; empty for requests without one.
    key: str = ''
    #: Service whose key slots hold the key. On a split route it is the first
    #: one for every request, whichever service was drawn.
    key_service: ServiceName = ServiceName('')
    #: Set while this daemon, as the owner, may run a keyed write.
    permit: DispatchPermit | None = None
    #: Request at another ingress that forwarded this one to its owner.
    origin: Origin | None = None
    reply_stream: StreamId | None = None
    #: The owner of the key slot runs it; this ingress awaits its answer.
    forwarded: bool = False
    #: The caller was answered or has disconnected; the result is still
    #: awaited for the record of the key.
    answered: bool = False
    deadline_passed: bool = False
    #: Its account has a limited rate, and it has no token yet.
    awaits_token: bool = False

    @property
    def movable(self) -> bool:
        """Whether an egress refuses it instead of queueing it."""
        may_move = self.priority is Priority.waiting
        may_move = may_move and self.service.movable
        return may_move and self.moves < MOVE_LIMIT

    @property
    def seeks_free_slot(self) -> bool:
        """Whether another upstream is tried for a free slot."""
        tries = self.service.free_slot_tries
        if self.tries_limit is not None:
            tries = min(tries, self.tries_limit)
        if self.queue_turns:
            tries = min(tries, LATER_FULL)
        return len(self.full) < tries

    @property
    def tries_cut(self) -> bool:
        """Whether recent refusals leave it fewer tries than configured."""
        if self.tries_limit is None:
            return False
        return self.tries_limit < self.service.free_slot_tries

    @property
    def seeks_hedge(self) -> bool:
        """Whether its next attempt is a second one beside another."""
        return self.hedged and bool(self.attempts)

    @property
    def waits_for_path(self) -> bool:
        """Whether it has no attempt and waits for a path to open."""
        if self.awaits_token:
            return False
        return not (self.attempts or self.done or self.forwarded)

    def begin_retry(self, *, hedged: bool = False) -> None:
        """Count a retry, for which all upstreams are tried for a free slot.

        It is ``hedged`` if it starts beside a running attempt that is slow.
        """
        self.retries += 1
        self.hedged = hedged
        self.forget_full()

    def forget_full(self) -> None:
        """Make the upstreams that had no free slot candidates again.

        Those at which it was queued stay excluded.
        """
        full = {candidate.upstream for candidate in self.full}
        self.excluded -= full - self.queued_at
        self.full.clear()

    def forget_unopened(self) -> None:
        """Make the upstreams whose path was opening candidates again."""
        self.excluded -= {candidate.upstream for candidate in self.unopened}
        self.unopened.clear()

    def restart_unless_called(self) -> None:
        """Undo its retries if no upstream was called and none runs.

        It is no retry any more, and upstreams without a budget for one are
        candidates again.
        """
        ran = self.may_have_run or self.called or self.fallback is not None
        if self.attempts or ran:
            return
        self.retries = 0
        self.excluded -= self.retry_refusers
        self.retry_refusers.clear()

    def end_queue_turn(self, candidate: Candidate) -> None:
        """Try others again after a turn in the queue of ``candidate``."""
        self.queue_turns += 1
        self.queued_at.discard(candidate.upstream)
        self.forget_full()
        self.full.append(candidate)
        self.excluded.add(candidate.upstream)

    @property
    def retried(self) -> bool:
        """Whether an upstream may have been called for it before."""
        return self.may_have_run or self.called or bool(self.retries)

    @property
    def may_probe(self) -> bool:
        """Whether it may go to an upstream on probation; a retry may not."""
        return self.idempotent and not self.retries

    @property
    def waits_until_deadline(self) -> bool:
        """Whether only its deadline bounds its wait for a slot.

        If a call is refused, the request that made it fails after its run;
        while the call waits, that request holds its slot, and fewer new ones
        are started.
        """
        return self.nested_call and self.service.calls_wait

    @property
    def idempotent(self) -> bool:
        """Whether the request may run more than once."""
        return self.route.idempotent


def status_of(outcome: Outcome, reason: Reason) -> int:
    """Return the HTTP status of a response that no upstream gave."""
    if outcome is Outcome.not_run:
        return _STATUSES.get(reason, _NOT_RUN_STATUS)
    known = _UNKNOWN_STATUSES.get(reason) or _STATUSES.get(reason)
    return known or _LOST_STATUS


def refusal(
    exchange: ExchangeId,
    outcome: Outcome,
    reason: Reason,
    detail: str = '',
    retry_after_ms: int = 0,
) -> Respond:
    """Return the response for a request that was not completed.

    ``Retry-After`` is set only for statuses 429 and 503.
    """
    status = status_of(outcome, reason)
    header_ms = 0
    if status in _RETRY_STATUSES:
        header_ms = max(retry_after_ms, RETRY_AFTER_MS)
    content = {
        'outcome': outcome.value,
        'reason': reason.value,
        'detail': detail,
    }
    return Respond(
        exchange,
        status,
        headers.refusal_headers(outcome, reason, header_ms),
        json.dumps(content).encode(),
        retry_after_ms,
    )


def completion(exchange: ExchangeId, answer: Answer) -> Respond:
    """Return the response of an upstream for its caller."""
    return Respond(
        exchange,
        answer.status,
        headers.caller_response_headers(answer.headers),
        answer.body,
    )
