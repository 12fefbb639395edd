"""Lifecycle of requests at the entrance."""

import heapq
from collections.abc import Hashable, Iterable, Mapping
from datetime import timedelta
from random import Random

import xxhash

from . import headers
from .accounts import Accounts
from .answers import RECORD_MARGIN, WRITE_GRACE, Origin
from .attempts import Attempts
from .baselines import Baselines
from .bundles import ATTEMPT_LIMIT, HEDGE_PCT, Bundle, Caller, Route
from .candidates import Candidates
from .selection import (
    Nearness,
    Pick,
    UsableSet,
    UsableView,
    age_loads,
    choose,
)
from .clocks import in_ms, ms
from .effects import Outbox, Record, Send
from .events import CallerDisconnected, CallerRequest
from .ids import (
    DaemonId,
    ExchangeId,
    RequestId,
    ServiceName,
    StreamId,
)
from .keyed import KeyedWrites
from .egress import Egress
from .messages import (
    Answer,
    Dispatch,
    MemberRecord,
    Message,
    NotSeen,
    Refusal,
    Running,
)
from .outcomes import Outcome, Reason
from .paths import Path, Paths, PathState
from .regionlinks import LinkBudget
from .requests import (
    MOVE_LIMIT,
    Attempt,
    Ticket,
    PendingRequest,
    completion,
    refusal,
)
from .retries import RetryBudget
from .splits import Splits
from .throttles import Throttles

#: Retries that an entrance may make for a service before it earns any. The
#: budgets of the upstreams bound how many of them arrive.
FIRST_RETRIES = 4.0
#: Upstreams a request is offered to before its refusal is passed on.
REROUTE_LIMIT = 4
#: The same while they refuse for their load: two full queues are evidence
#: enough, and each offer costs the fleet a message and a refusal.
OVERLOADED_LIMIT = 2
#: A second attempt starts when the first is older than a multiple of the
#: expected service time (``hedge_pct``), and at least this old.
HEDGE_AFTER = timedelta(milliseconds=150)
#: The expected wait in the queue counts this many times.
HEDGE_QUEUE_FACTOR = 3
#: Without an expected service time a second attempt waits this long.
HEDGE_UNKNOWN_AFTER = timedelta(seconds=1)
#: Loads that were not reported again for this time count half.
AGE_INTERVAL = timedelta(seconds=1)
#: Multiple of the expected time at which a read is tried a second time where
#: the service sets none.
HEDGE_FACTOR = HEDGE_PCT / 100


_HTTP_ERROR = 500
_NOT_RUN_REASONS = frozenset(
    (Reason.key_conflict, Reason.overloaded, Reason.bad_request)
)


class Ingress:
    """Owns the callers' requests, their deadlines and their retries."""

    def __init__(
        self,
        own: MemberRecord,
        egress: Egress,
        paths: Paths,
        outbox: Outbox,
        rng: Random,
        keyed: KeyedWrites,
    ) -> None:
        """Start without a bundle; every request is refused until one is."""
        self._own = own
        self._egress = egress
        self._paths = paths
        self._outbox = outbox
        self._rng = rng
        self._keyed = keyed
        self._accounts = Accounts()
        #: Upstreams that requests may be sent to.
        self.candidates = Candidates(own, paths)
        self._budgets: dict[ServiceName, RetryBudget] = {}
        self._baselines = Baselines()
        self._throttles = Throttles(rng)
        self._link = LinkBudget()
        self._splits = Splits(rng)
        self._waiting: dict[ExchangeId, PendingRequest] = {}
        self._attempts = Attempts(
            own, egress, paths, outbox, self._baselines, self._link
        )
        self._origins: dict[Origin, PendingRequest] = {}
        self._asked_home = 0
        self._aged_at = timedelta()
        self._deadlines: list[tuple[timedelta, ExchangeId]] = []

    @property
    def busy(self) -> bool:
        """Whether callers wait for answers."""
        return bool(self._waiting)

    @property
    def views(self) -> Mapping[ServiceName, UsableView]:
        """Usable upstreams of each service, as this entrance sees them."""
        return self.candidates.views

    def configure(self, bundle: Bundle) -> None:
        """Apply a new bundle; waiting requests keep their old route."""
        self._accounts.configure(bundle)
        self._link.configure(bundle.region_link_kbit_s)
        for name, service in bundle.services.items():
            share = bundle.retries_pct / 100
            fresh = RetryBudget(share, saved=FIRST_RETRIES)
            budget = self._budgets.setdefault(name, fresh)
            budget.share = share
            view = self.candidates.view(name)
            view.set_floor(service.floor_pct, trials_count=service.trials_count)
            view.spill = service.spill_pct / 100

    def members_changed(
        self,
        members: Mapping[DaemonId, MemberRecord],
        changed: Iterable[DaemonId],
        now: timedelta,
    ) -> None:
        """Update the candidates of the daemons whose records changed."""
        self._link.set_members(
            sum(each.region == self._own.region for each in members.values())
        )
        dropped = self.candidates.members_changed(members, changed, now)
        for upstream in dropped:
            self._baselines.forget(upstream)

    def request(self, event: CallerRequest, now: timedelta) -> None:
        """Accept a request of a caller, or refuse it at once."""
        if self._egress.hosted.recovering(now):
            # It may have waited while this process was paused, and its
            # caller may have been answered elsewhere.
            self._refuse(event, Reason.late)
            return
        admitted = self._accounts.admit(event)
        if isinstance(admitted, Reason):
            self._refuse(event, admitted)
            return
        caller = admitted.caller
        route = self._splits.choose(admitted.route)
        limit_ms = _deadline_ms(event, route)
        waiting = PendingRequest(
            exchange=event.exchange,
            route=route,
            caller=caller,
            method=event.method,
            target=event.target,
            headers=headers.for_upstream(event.headers, caller.name),
            body=event.body,
            priority=admitted.priority,
            arrived=now,
            deadline=now + ms(limit_ms),
            host=event.host.encode(),
            tag=event.tag,
            service=self._accounts.service(route.service),
            key=_key_of(event, route) if self._keyed.enabled else '',
        )
        key = throttle_key(waiting)
        if not self._throttles.admit(key, now):
            self._refuse(event, Reason.overloaded, key)
            return
        self._waiting[event.exchange] = waiting
        heapq.heappush(self._deadlines, (waiting.deadline, event.exchange))
        self._accounts.count(caller, 1)
        self._budgets[route.service].earn()
        self._begin(waiting, now)

    def forwarded_request(
        self,
        origin: Origin,
        stream: StreamId,
        message: Dispatch,
        now: timedelta,
    ) -> None:
        """Run a keyed write for another entrance, as the home of its key."""
        if origin in self._origins:
            return
        route = self._accounts.route(message.route)
        if route is None:
            self._egress.answer_for(
                origin,
                stream,
                Refusal(origin.request, Reason.no_route, Outcome.unknown),
                now,
            )
            return
        self._asked_home += 1
        waiting = PendingRequest(
            exchange=ExchangeId(-self._asked_home),
            route=route,
            caller=Caller(message.caller),
            method=message.method,
            target=message.target,
            headers=message.headers,
            body=message.body,
            priority=message.priority,
            arrived=now,
            deadline=now + ms(message.remaining_ms),
            key=message.key,
            origin=origin,
            reply_stream=stream,
        )
        self._origins[origin] = waiting
        self._waiting[waiting.exchange] = waiting
        heapq.heappush(self._deadlines, (waiting.deadline, waiting.exchange))
        self._begin(waiting, now)

    def inquire(self, origin: Origin, stream: StreamId) -> bool:
        """Tell whether a write runs here for another entrance."""
        waiting = self._origins.get(origin)
        if waiting is None:
            return False
        waiting.reply_stream = stream
        self._outbox.emit(Send(stream, Running(origin.request)))
        return True

    def gone(self, event: CallerDisconnected, now: timedelta) -> None:
        """Cancel the request of a caller that closed its connection."""
        waiting = self._waiting.get(event.exchange)
        if waiting is None:
            return
        if waiting.ticket is not None:
            # The result belongs to the record of the key.
            waiting.answered = True
            return
        self._attempts.cancel(waiting, now)
        self._finish(waiting)

    def reply(self, daemon: DaemonId, message: Message, now: timedelta) -> None:
        """Take a reply of a last hop; one that matches nothing is dropped."""
        request = getattr(message, 'request', None)
        waiting = self._attempts.find(request) if request else None
        if waiting is None or request is None:
            self._outbox.emit(Record('reply-discarded', {'peer': daemon}))
            return
        attempt = waiting.attempts[request]
        if attempt.daemon != daemon:
            self._outbox.emit(Record('reply-crossed', {'peer': daemon}))
            return
        if isinstance(message, Answer):
            self._answer(waiting, attempt, message, now)
        elif isinstance(message, Refusal):
            self._refused(waiting, attempt, message, now)
        elif isinstance(message, NotSeen):
            self._not_seen(waiting, attempt, now)
        elif isinstance(message, Running):
            attempt.lost = False

    def path_opened(self, path: Path, now: timedelta) -> None:
        """Ask for requests that were on a lost stream, place parked ones."""
        self.candidates.path_changed(path)
        for waiting in tuple(self._waiting.values()):
            for attempt in tuple(waiting.attempts.values()):
                if attempt.lost and attempt.daemon == path.daemon:
                    self._reattach(waiting, attempt, path, now)
            if not (waiting.attempts or waiting.done or waiting.forwarded):
                self._place(waiting, now)

    def path_lost(self, path: Path, now: timedelta) -> None:
        """Deal with the requests on a stream that ended or went silent."""
        self.candidates.path_changed(path)
        for waiting in tuple(self._waiting.values()):
            for attempt in tuple(waiting.attempts.values()):
                if attempt.stream and attempt.daemon == path.daemon:
                    self._lose(waiting, attempt, path, now)
            if not (waiting.attempts or waiting.done or waiting.forwarded):
                # Parked until a path opens, and this one did not.
                self._place(waiting, now)

    def tick(self, now: timedelta) -> None:
        """Answer requests whose deadline passed, hedge slow ones."""
        self._age_loads(now)
        while self._deadlines and self._deadlines[0][0] <= now:
            exchange = heapq.heappop(self._deadlines)[1]
            waiting = self._waiting.get(exchange)
            if waiting is not None:
                self._expire(waiting, now)
        for slow in tuple(self._waiting.values()):
            if _is_slow(slow, now) and self._may_retry(slow):
                self._retry_spent(slow, now)

    def _age_loads(self, now: timedelta) -> None:
        if now - self._aged_at < AGE_INTERVAL:
            return
        self._aged_at = now
        for view in self.views.values():
            age_loads(view.candidates.values())
        self.candidates.age_health(now)

    def _refuse(
        self, event: CallerRequest, reason: Reason, key: Hashable = None
    ) -> None:
        """Answer a request that was not accepted.

        Only the home of a key can tell that an earlier try of a keyed write
        did not run.
        """
        keyed = self._keyed.enabled and headers.get(
            event.headers, headers.IDEMPOTENCY_KEY
        )
        self._outbox.emit(
            Record(
                'request-refused',
                {
                    'request': event.tag,
                    'exchange': event.exchange,
                    'reason': reason.value,
                    'bundle': self._accounts.version,
                },
                detail=True,
            )
        )
        self._outbox.emit(
            refusal(
                event.exchange,
                Outcome.unknown if keyed else Outcome.not_run,
                reason,
                retry_after_ms=self._throttles.retry_after_ms(key),
            )
        )

    def _begin(self, waiting: PendingRequest, now: timedelta) -> None:
        if not waiting.key:
            self._place(waiting, now)
            return
        begun = self._keyed.begin(waiting, now)
        if isinstance(begun, Ticket):
            waiting.ticket = begun
            self._place(waiting, now)
        elif isinstance(begun, Path):
            waiting.forwarded = True
            self._attempts.forward(waiting, begun, waiting.key, now)
        elif isinstance(begun, Reason):
            waiting.may_have_run = begun not in _NOT_RUN_REASONS
            self._conclude(waiting, begun)
        else:
            self._end(waiting, begun)

    def _place(self, waiting: PendingRequest, now: timedelta) -> None:
        ticket = waiting.ticket
        if ticket is not None and not self._keyed.may_run(ticket, now):
            self._lose_home(waiting)
            return
        view = self.candidates.view_of(waiting.route.service, waiting.priority)
        remote = self._link.allows(waiting.priority, now)
        pick = choose(
            view.current(),
            self._rng,
            waiting.excluded,
            # The last attempt is not spent on a trial.
            idempotent=waiting.idempotent and not waiting.retries,
            remote=remote,
            spill=view.spill,
        )
        if pick is None:
            if not remote and has_far(view.current()):
                waiting.last_reason = Reason.region_link
            self._no_candidate(waiting, now)
            return
        if pick.candidate.daemon == self._own.daemon:
            self._attempts.send_local(waiting, pick, now)
            return
        path = self._paths.ready(pick.candidate.daemon)
        if path is None:
            self._exclude_unopened(waiting, pick, now)
            return
        self._attempts.send(waiting, pick, path, now)

    def _lose_home(self, waiting: PendingRequest) -> None:
        """End a write whose slot was lost before it was dispatched.

        It did not run here, but another try may have run at the new home.
        """
        not_run = Refusal(RequestId(0), Reason.no_home, Outcome.not_run)
        self._keyed.finish(waiting, not_run)
        waiting.ticket = None
        waiting.may_have_run = True
        self._conclude(waiting, Reason.no_home)

    def _exclude_unopened(
        self, waiting: PendingRequest, pick: Pick, now: timedelta
    ) -> None:
        """Try another upstream; the request is parked when none is left."""
        candidate = pick.candidate
        self._paths.want(candidate.daemon, candidate.address, now)
        waiting.excluded.add(pick.candidate.upstream)
        self._place(waiting, now)

    def _no_candidate(self, waiting: PendingRequest, now: timedelta) -> None:
        if waiting.attempts:
            return
        if waiting.movable and waiting.moves:
            self._move(waiting, now)
            return
        if not waiting.reroutes and not waiting.may_have_run:
            # Upstreams behind paths that are still opening may come up
            # before the deadline.
            waiting.excluded.clear()
            if self.candidates.opening(waiting.route.service):
                return
        self._conclude(waiting, waiting.last_reason)

    def _answer(
        self,
        waiting: PendingRequest,
        attempt: Attempt,
        message: Answer,
        now: timedelta,
    ) -> None:
        self._attempts.drop(waiting, attempt)
        if attempt.link_bytes:
            self._link.settle(
                waiting.route.name, attempt.link_bytes, len(message.body)
            )
        self._throttles.accepted(throttle_key(waiting), now)
        self.candidates.report(attempt.candidate, message.load, now)
        if not _is_whole(message):
            self._outbox.emit(
                Record('answer-damaged', {'peer': attempt.daemon})
            )
            self._failed(waiting, Reason.connection_lost, now)
            return
        if not waiting.forwarded:
            self._baselines.add(
                waiting.route.service,
                waiting.route.name,
                attempt.candidate.upstream,
                message.service_ms,
                error=message.status >= _HTTP_ERROR,
            )
        if message.status >= _HTTP_ERROR and waiting.idempotent:
            waiting.fallback = message
            if waiting.attempts:
                return
            if self._may_retry(waiting):
                self._retry_spent(waiting, now)
                return
        self._attempts.cancel(waiting, now)
        self._end(waiting, message)

    def _refused(
        self,
        waiting: PendingRequest,
        attempt: Attempt,
        message: Refusal,
        now: timedelta,
    ) -> None:
        self._attempts.drop(waiting, attempt)
        self._outbox.emit(_ended(waiting, attempt, message))
        if message.load is not None:
            self.candidates.report(attempt.candidate, message.load, now)
        if message.reason is Reason.busy:
            self._move(waiting, now)
            return
        if message.reason is Reason.retry_budget:
            self._offer_again(waiting, now)
            return
        waiting.last_reason = message.reason
        if waiting.forwarded:
            waiting.may_have_run = message.outcome is not Outcome.not_run
            self._conclude(waiting, message.reason)
            return
        if message.outcome is Outcome.not_run:
            self._reroute(waiting, message, now)
            return
        self._failed(waiting, message.reason, now)

    def _offer_again(self, waiting: PendingRequest, now: timedelta) -> None:
        """Offer a retry to an upstream that has retries left."""
        if waiting.attempts:
            return
        waiting.reroutes += 1
        if waiting.reroutes >= REROUTE_LIMIT:
            self._conclude(waiting, waiting.last_reason)
            return
        self._place(waiting, now)

    def _move(self, waiting: PendingRequest, now: timedelta) -> None:
        """Place a person's request again, with the load just learned."""
        waiting.moves += 1
        if waiting.attempts:
            return
        if waiting.moves >= MOVE_LIMIT:
            waiting.excluded.clear()
        self._place(waiting, now)

    def _reroute(
        self, waiting: PendingRequest, message: Refusal, now: timedelta
    ) -> None:
        if waiting.attempts:
            return
        waiting.reroutes += 1
        final = message.reason is Reason.crashes_upstreams
        if message.reason is Reason.upstream_failed:
            # The upstream refused the connection: another call is a retry.
            waiting.called = True
            budget = self._budgets[waiting.route.service]
            final = not budget.spend()
        limit = REROUTE_LIMIT
        # A queue has taken the time that another upstream would need.
        final = final or message.reason is Reason.deadline
        if message.reason is Reason.overloaded:
            limit = OVERLOADED_LIMIT
            self._throttles.refused(throttle_key(waiting), now)
        else:
            self._throttles.accepted(throttle_key(waiting), now)
        if final or waiting.reroutes >= limit:
            self._conclude(waiting, message.reason)
            return
        self._place(waiting, now)

    def _not_seen(
        self, waiting: PendingRequest, attempt: Attempt, now: timedelta
    ) -> None:
        self._attempts.drop(waiting, attempt)
        if now >= waiting.deadline:
            # The last hop may have forgotten a request that ended.
            self._failed(waiting, Reason.deadline, now)
        elif waiting.forwarded:
            self._begin(waiting, now)
        elif not waiting.attempts:
            waiting.reroutes += 1
            self._place(waiting, now)

    def _failed(
        self, waiting: PendingRequest, reason: Reason, now: timedelta
    ) -> None:
        """Deal with an attempt that may have run."""
        waiting.may_have_run = True
        waiting.last_reason = reason
        if waiting.attempts:
            return
        if self._may_retry(waiting):
            self._retry_spent(waiting, now)
            return
        self._conclude(waiting, reason)

    def _lose(
        self,
        waiting: PendingRequest,
        attempt: Attempt,
        path: Path,
        now: timedelta,
    ) -> None:
        known = attempt.lost
        attempt.lost = True
        dead = path.state is PathState.failed and path.refused
        if dead:
            self._attempts.drop(waiting, attempt)
            self._failed(waiting, Reason.connection_lost, now)
        elif not known and self._may_retry(waiting):
            self._retry_spent(waiting, now)

    def _reattach(
        self,
        waiting: PendingRequest,
        attempt: Attempt,
        path: Path,
        now: timedelta,
    ) -> None:
        if path.incarnation != attempt.incarnation:
            self._attempts.drop(waiting, attempt)
            self._failed(waiting, Reason.connection_lost, now)
            return
        self._attempts.reattach(attempt, path)

    def _may_retry(self, waiting: PendingRequest) -> bool:
        if not waiting.idempotent or not _has_attempts(waiting):
            return False
        return self._budgets[waiting.route.service].spend()

    def _retry_spent(self, waiting: PendingRequest, now: timedelta) -> None:
        waiting.retries += 1
        self._place(waiting, now)

    def _expire(self, waiting: PendingRequest, now: timedelta) -> None:
        if waiting.attempts:
            waiting.may_have_run = True
        if waiting.ticket is not None and waiting.attempts:
            self._await_record(waiting)
            return
        self._attempts.cancel(waiting, now)
        self._conclude(waiting, Reason.deadline)

    def _await_record(self, waiting: PendingRequest) -> None:
        """Answer the caller, and wait on for the record of the key."""
        if waiting.deadline_passed:
            self._conclude(waiting, Reason.deadline)
            return
        if not waiting.answered:
            self._reply(
                waiting,
                Refusal(RequestId(0), Reason.deadline, Outcome.unknown),
            )
        waiting.answered = True
        waiting.deadline_passed = True
        until = waiting.deadline + WRITE_GRACE + RECORD_MARGIN
        heapq.heappush(self._deadlines, (until, waiting.exchange))

    def _conclude(self, waiting: PendingRequest, reason: Reason) -> None:
        if waiting.fallback is not None:
            self._end(waiting, waiting.fallback)
            return
        outcome = Outcome.not_run
        if waiting.may_have_run:
            outcome = Outcome.unknown
        self._outbox.emit(
            Record(
                'request-failed',
                {
                    'outcome': outcome.value,
                    'reason': reason.value,
                    'route': waiting.route.name,
                },
            )
        )
        self._end(
            waiting,
            Refusal(
                RequestId(0),
                reason,
                outcome,
                self._throttles.retry_after_ms(throttle_key(waiting)),
            ),
        )

    def _end(self, waiting: PendingRequest, message: Answer | Refusal) -> None:
        """Record the result of a request and reply to who asked."""
        if waiting.ticket is not None:
            self._keyed.finish(waiting, message)
        if not waiting.answered:
            self._reply(waiting, message)
        self._finish(waiting)

    def _reply(
        self, waiting: PendingRequest, message: Answer | Refusal
    ) -> None:
        outcome, reason, status = Outcome.completed, '', 0
        if isinstance(message, Refusal):
            outcome, reason = message.outcome, message.reason.value
        else:
            status = message.status
        self._outbox.emit(
            Record(
                'request-answered',
                {
                    'request': waiting.tag or waiting.exchange,
                    'exchange': waiting.exchange,
                    'outcome': outcome.value,
                    'reason': reason,
                    'status': status,
                    'bundle': self._accounts.version,
                    'waited_ms': in_ms(self._outbox.now - waiting.arrived),
                    'late_ms': in_ms(self._outbox.now - waiting.deadline),
                },
                detail=True,
            )
        )
        origin = waiting.origin
        if origin:
            self._egress.answer_for(
                origin, waiting.reply_stream, message, waiting.deadline
            )
        elif isinstance(message, Answer):
            self._outbox.emit(completion(waiting.exchange, message))
        else:
            self._outbox.emit(
                refusal(
                    waiting.exchange,
                    message.outcome,
                    message.reason,
                    retry_after_ms=message.retry_after_ms,
                )
            )

    def _finish(self, waiting: PendingRequest) -> None:
        waiting.done = True
        self._waiting.pop(waiting.exchange, None)
        if waiting.origin is None:
            self._accounts.count(waiting.caller, -1)
        if waiting.origin in self._origins:
            self._origins.pop(waiting.origin)


def _ended(
    waiting: PendingRequest, attempt: Attempt, message: Refusal
) -> Record:
    return Record(
        'attempt-ended',
        {
            'request': waiting.tag,
            'attempt': attempt.request,
            'upstream': attempt.candidate.upstream,
            'peer': attempt.daemon,
            'outcome': message.outcome.value,
            'reason': message.reason.value,
            'detail': message.detail,
        },
        detail=True,
    )


def throttle_key(waiting: PendingRequest) -> Hashable:
    """Return what refusals for load are counted by."""
    return waiting.route.service, waiting.caller.name, waiting.priority


def has_far(choices: UsableSet) -> bool:
    """Return whether an upstream in another region is usable."""
    tiers = choices.tiers
    return bool(tiers) and tiers[-1][0].nearness is Nearness.other_region


def _deadline_ms(event: CallerRequest, route: Route) -> int:
    asked = headers.get(event.headers, headers.DEADLINE.lower())
    if asked is None or not asked.isdigit():
        return route.deadline_ms
    return max(1, min(route.deadline_ms, int(asked)))


def _key_of(event: CallerRequest, route: Route) -> str:
    if route.idempotent:
        return ''
    key = headers.get(event.headers, headers.IDEMPOTENCY_KEY)
    return key.decode('latin-1') if key else ''


def _is_whole(message: Answer) -> bool:
    if len(message.body) != message.length:
        return False
    return xxhash.xxh3_64_intdigest(message.body) == message.digest


def _has_attempts(waiting: PendingRequest) -> bool:
    """Return whether another upstream may run the request."""
    limit = min(ATTEMPT_LIMIT, waiting.route.attempt_limit)
    return waiting.retries < limit - 1


def _is_slow(waiting: PendingRequest, now: timedelta) -> bool:
    if len(waiting.attempts) != 1 or not _has_attempts(waiting):
        return False
    attempt = next(iter(waiting.attempts.values()))
    factor = waiting.service.hedge_pct / 100
    return now - attempt.sent_at >= _hedge_after(attempt, factor)


def _hedge_after(attempt: Attempt, factor: float = HEDGE_FACTOR) -> timedelta:
    if not attempt.expected_ms:
        return HEDGE_UNKNOWN_AFTER
    expected_ms = attempt.expected_ms * factor
    # A wait in a queue is no sign of a fault; a second attempt would wait too.
    expected_ms += attempt.queue_ms * HEDGE_QUEUE_FACTOR
    return max(HEDGE_AFTER, ms(expected_ms))
