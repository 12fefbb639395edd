"""Lifecycle of callers' requests at the ingress daemon.

Admits or refuses each request, selects upstreams for its attempts, retries
and hedges it, and answers its caller by the deadline. Also runs keyed writes
that another ingress forwarded to this daemon as the owner of their key slot.
"""

import heapq
from collections.abc import Hashable, Iterable, Mapping
from dataclasses import replace
from datetime import timedelta
from random import Random

import xxhash

from . import headers
from .accounts.admission import Accounts, Admitted
from .allotments.verdicts import Verdict
from .answers import RECORD_MARGIN, WRITE_GRACE, Origin
from .attempts import Attempts
from .baselines import Baselines
from .bundles import ATTEMPT_LIMIT, HEDGE_PCT, Bundle, Caller, Route
from .candidates import Candidates
from .placements import Placements
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
from .explanations.views import PlacementParts
from .hedging.second import SecondAttempts
from .nestedcalls.detection import CallRoutes
from .messages import (
    Answer,
    Dispatch,
    Headers,
    MemberRecord,
    Message,
    NotSeen,
    Refusal,
    Running,
)
from .outcomes import Outcome, Reason
from .overflow.decisions import Overflow
from .paths import Path, Paths, PathState
from .poisonrequests import (
    PoisonRequests,
    PoisonStatus,
    request_fingerprint,
)
from .regionlinks import LinkBudget
from .requests import (
    MOVE_LIMIT,
    Attempt,
    DispatchPermit,
    PendingRequest,
    StopWindow,
    completion,
    refusal,
)
from .retries import RetryBudget, SteadyRetries
from .splits import Splits
from .throttles import Throttles

#: Initial retry budget of a service at each ingress. The retry budgets at the
#: egress bound how many of these retries reach an upstream.
FIRST_RETRIES = 4.0
#: Steady retries of an ingress, as a multiple of its even part.
INGRESS_RETRY_FACTOR = 3
#: Upstreams that may refuse a request before the caller gets the refusal; those
#: that are draining don't count.
REROUTE_LIMIT = 4
#: The same for retries that an upstream has no budget for. The budgets bound
#: their sum, and are uneven: most upstreams save up no more than one retry.
RETRY_OFFER_LIMIT = 8
#: The same for refusals as overloaded: two full queues are enough evidence
#: of an overload, and each further dispatch costs a message and a refusal.
OVERLOADED_LIMIT = 2
#: Least age of the only running attempt at which a request is hedged. The age
#: is higher if the expected service time times ``hedge_pct``, plus the weighted
#: queueing time, exceeds this.
HEDGE_AFTER = timedelta(milliseconds=150)
#: Weight of the expected queueing time in the age at which a request is
#: hedged.
HEDGE_QUEUE_FACTOR = 3
#: Age at which a request is hedged if no service time is expected.
HEDGE_UNKNOWN_AFTER = timedelta(seconds=1)
#: Default multiple of the expected service time after which an idempotent
#: request is hedged.
HEDGE_FACTOR = HEDGE_PCT / 100


#: A deadline with more digits is later than that of any route.
DEADLINE_DIGITS = 18

_HTTP_ERROR = 500
_NOT_RUN_REASONS = frozenset(
    (Reason.key_conflict, Reason.overloaded, Reason.bad_request)
)


class Ingress:
    """Pending requests of callers, with their deadlines and retries."""

    def __init__(
        self,
        own: MemberRecord,
        egress: Egress,
        paths: Paths,
        outbox: Outbox,
        rng: Random,
        keyed: KeyedWrites,
    ) -> None:
        """Start without a bundle; requests are refused until there is one."""
        self._own = own
        self._egress = egress
        self._paths = paths
        self._outbox = outbox
        self._keyed = keyed
        self._accounts = Accounts()
        self._seconds = SecondAttempts(outbox)
        self.candidates = Candidates(own, paths, rng)
        self._budgets: dict[ServiceName, RetryBudget] = {}
        self._steady_retries = SteadyRetries()
        self._fleet_size = 1
        self._baselines = Baselines()
        self._throttles = Throttles(rng)
        self._link = LinkBudget()
        self._splits = Splits(rng)
        self._call_routes = CallRoutes()
        self._pending: dict[ExchangeId, PendingRequest] = {}
        self._overflow = Overflow(rng)
        self._attempts = Attempts(
            own,
            egress,
            paths,
            outbox,
            self._baselines,
            self._link,
            self.candidates.limited,
            self._overflow,
        )
        self._placements = Placements(
            self.candidates, self._link, self._overflow, rng
        )
        self._origins: dict[Origin, PendingRequest] = {}
        self._forwarded_count = 0
        self._deadlines: list[tuple[timedelta, ExchangeId]] = []
        #: New requests of accounts with a limited rate.
        self.without_token: list[PendingRequest] = []
        #: What decides on placements, for explanations.
        self.placement_parts = PlacementParts(
            self._accounts,
            self.candidates,
            self._link,
            paths,
            self._baselines,
            self._throttles,
            own.daemon,
        )
        #: Set once a planned stop has begun and its notice is over.
        self.stop_window: StopWindow | None = None

    @property
    def busy(self) -> bool:
        """Whether requests are pending."""
        return bool(self._pending)

    def configure(self, bundle: Bundle) -> None:
        """Apply a new bundle; pending requests keep their old route."""
        self._accounts.configure(bundle)
        self._call_routes.keep(bundle.routes)
        self._seconds.configure(bundle.services)
        self._overflow.keep(bundle.services)
        self._link.configure(bundle.region_link_kbit_s)
        self._steady_retries.per_s = bundle.retries_per_s
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
        self._fleet_size = max(1, len(members))
        self._link.set_members(
            sum(each.region == self._own.region for each in members.values())
        )
        dropped = self.candidates.members_changed(members, changed, now)
        for upstream in dropped:
            self._baselines.forget(upstream)

    def request(self, event: CallerRequest, now: timedelta) -> None:
        """Admit a request of a caller, or refuse it at once."""
        if self._egress.local_upstreams.in_stall_backlog(now):
            # The request may have been received before this process was
            # paused, and another daemon may have answered the caller since.
            self._refuse(event, Reason.late)
            return
        admitted = self._accounts.admit(event)
        if isinstance(admitted, Reason):
            self._refuse(event, admitted)
            return
        caller = admitted.caller
        route = self._splits.choose(admitted.route)
        service = self._accounts.service(route.service)
        limit_ms = _deadline_ms(event, route)
        pending = PendingRequest(
            exchange=event.exchange,
            route=route,
            caller=caller,
            method=event.method,
            target=event.target,
            headers=_upstream_headers(event, admitted, self._accounts.origin),
            body=event.body,
            priority=admitted.priority,
            arrived=now,
            deadline=now + ms(limit_ms),
            host=event.host.encode(),
            tag=event.tag,
            service=service,
            usual_ms=self._baselines.usual_ms(route.name),
            key=_key_of(event, route) if self._keyed.enabled else '',
            key_service=admitted.route.service,
            nested_call=service.calls_wait
            and self._call_routes.arrived(
                route.name, self._egress.local_upstreams.running_count
            ),
        )
        key = throttle_key(pending)
        if not self._throttles.admit(key, now):
            self._refuse(event, Reason.overloaded, key)
            return
        if self.stop_window is not None and self.stop_window.cuts_off(
            pending, now
        ):
            self._refuse(event, Reason.draining, key)
            return
        if _is_blocked(self._egress.poison_requests, pending, now):
            self._refuse(event, Reason.crashes_upstreams, key)
            return
        self._pending[event.exchange] = pending
        heapq.heappush(self._deadlines, (pending.deadline, event.exchange))
        self._accounts.count(caller, 1)
        if caller.rate_per_s:
            pending.awaits_token = True
            self.without_token.append(pending)
            return
        self._budgets[route.service].earn()
        self._seconds.earn(route.service)
        self._begin(pending, now)

    def token_decided(self, verdict: Verdict, now: timedelta) -> None:
        """Place a request that has got its token, or refuse it.

        Its caller may have left, or its deadline may have passed.
        """
        pending = verdict.pending
        if pending.done:
            return
        if verdict.granted and now >= pending.deadline:
            # After a pause of this process, the token may come before the
            # tick that ends the request.
            self._end_failed(pending, Reason.deadline)
            return
        pending.awaits_token = False
        if verdict.granted:
            self._budgets[pending.route.service].earn()
            self._begin(pending, now)
            return
        # Only the owner of its key knows whether an earlier attempt ran.
        outcome = Outcome.unknown if pending.key else Outcome.not_run
        self._end(
            pending,
            Refusal(RequestId(0), Reason.allotment, outcome, verdict.wait_ms),
        )

    def request_failed(self, event: CallerRequest, now: timedelta) -> None:
        """Answer a request at once whose admission raised an exception."""
        pending = self._pending.get(event.exchange)
        if pending is None:
            self._refuse(event, Reason.internal_error)
            return
        pending.may_have_run = bool(pending.attempts)
        self._attempts.cancel(pending, now)
        self._end_failed(pending, Reason.internal_error)

    def forwarded_request(
        self,
        origin: Origin,
        stream: StreamId,
        message: Dispatch,
        now: timedelta,
    ) -> None:
        """Run a keyed write for another ingress, as the owner of its slot.

        ``origin`` identifies the request at that ingress. A request that
        already runs here is ignored.
        """
        if origin in self._origins:
            return
        route = self._accounts.route(message.route)
        if route is None:
            self._egress.send_owner_answer(
                origin,
                stream,
                Refusal(origin.request, Reason.no_route, Outcome.unknown),
                now,
            )
            return
        self._forwarded_count += 1
        pending = PendingRequest(
            # Negative: a forwarded request has no exchange with a caller here.
            exchange=ExchangeId(-self._forwarded_count),
            # The service that was drawn for it; the owner draws none.
            route=replace(route, service=message.service, split=()),
            caller=Caller(message.caller),
            method=message.method,
            target=message.target,
            headers=message.headers,
            body=message.body,
            priority=message.priority,
            arrived=now,
            deadline=now + ms(message.remaining_ms),
            key=message.key,
            key_service=route.service,
            origin=origin,
            reply_stream=stream,
        )
        self._origins[origin] = pending
        self._pending[pending.exchange] = pending
        heapq.heappush(self._deadlines, (pending.deadline, pending.exchange))
        self._begin(pending, now)

    def inquire(self, origin: Origin, stream: StreamId) -> bool:
        """Return whether a write runs here for another ingress.

        If it does, its result goes to ``stream`` from now on, and the peer
        is informed that the write is still running.
        """
        pending = self._origins.get(origin)
        if pending is None:
            return False
        pending.reply_stream = stream
        self._outbox.emit(Send(stream, Running(origin.request)))
        return True

    def gone(self, event: CallerDisconnected, now: timedelta) -> None:
        """Cancel the request of a caller that closed its connection."""
        pending = self._pending.get(event.exchange)
        if pending is None:
            return
        if pending.permit is not None:
            # The result is still needed for the record of the key.
            pending.answered = True
            return
        self._attempts.cancel(pending, now)
        self._finish(pending)

    def reply(self, daemon: DaemonId, message: Message, now: timedelta) -> None:
        """Process a message of an egress about one of the attempts.

        A message for an unknown attempt, or for one that was dispatched to
        another daemon, is logged and discarded.
        """
        request = getattr(message, 'request', None)
        pending = self._attempts.find(request) if request else None
        if pending is None or request is None:
            self._outbox.emit(Record('reply-discarded', {'peer': daemon}))
            return
        attempt = pending.attempts[request]
        if attempt.daemon != daemon:
            self._outbox.emit(Record('reply-crossed', {'peer': daemon}))
            return
        if isinstance(message, Answer):
            self._attempt_answered(pending, attempt, message, now)
        elif isinstance(message, Refusal):
            self._attempt_refused(pending, attempt, message, now)
        elif isinstance(message, NotSeen):
            self._not_seen(pending, attempt, now)
        elif isinstance(message, Running):
            attempt.lost = False

    def path_opened(self, path: Path, now: timedelta) -> None:
        """Handle a path that opened.

        Inquires after attempts on a stream to the same daemon that was lost
        or that the new one replaces, and dispatches requests that wait for an
        open path.
        """
        self.candidates.path_changed(path)
        for pending in tuple(self._pending.values()):
            replaced = [
                attempt
                for attempt in pending.attempts.values()
                if _was_on_earlier_stream(attempt, path)
            ]
            with self._outbox.contain('path-opened'):
                for attempt in replaced:
                    self._reattach(pending, attempt, path, now)
                if pending.waits_for_path:
                    self._place(pending, now)

    def path_lost(self, path: Path, now: timedelta) -> None:
        """Handle the attempts on a stream that closed or went silent."""
        self.candidates.path_changed(path)
        for pending in tuple(self._pending.values()):
            lost = [
                attempt
                for attempt in pending.attempts.values()
                if attempt.stream and attempt.daemon == path.daemon
            ]
            with self._outbox.contain('path-lost'):
                for attempt in lost:
                    self._lose_attempt(pending, attempt, path, now)
                if pending.waits_for_path:
                    # Any path may open, and this one failed.
                    self._place(pending, now)

    def tick(self, now: timedelta) -> None:
        """Answer requests whose deadline has passed and hedge slow ones."""
        contain = self._outbox.contain
        with contain('candidates'):
            self.candidates.age(now)
            self._call_routes.sample(
                self._egress.local_upstreams.running_count, now
            )
        # Failures are uneven over the ingress daemons, and the budgets at the
        # egress bound the sum.
        steady = self._steady_retries.take(now) * INGRESS_RETRY_FACTOR
        for budget in self._budgets.values():
            budget.add(steady / self._fleet_size)
        while self._deadlines and self._deadlines[0][0] <= now:
            exchange = heapq.heappop(self._deadlines)[1]
            pending = self._pending.get(exchange)
            if pending is not None:
                self._expire_contained(pending, now)
        for slow in tuple(self._pending.values()):
            with contain('hedge'):
                if _starts_second(slow, self._seconds, self._budgets, now):
                    slow.begin_retry(hedged=self._seconds.covers(slow))
                    self._place(slow, now)

    def stop(self, now: timedelta) -> None:
        """Answer the requests that are pending when the daemon ends.

        The result of a write with a key is no longer waited for.
        """
        for pending in tuple(self._pending.values()):
            with self._outbox.contain('stop'):
                if pending.attempts:
                    pending.may_have_run = True
                self._attempts.cancel(pending, now)
                if pending.permit is None:
                    self._end_failed(pending, Reason.draining)
                elif not pending.answered:
                    pending.answered = True
                    self._reply(
                        pending,
                        Refusal(RequestId(0), Reason.draining, Outcome.unknown),
                    )

    def _refuse(
        self, event: CallerRequest, reason: Reason, key: Hashable = None
    ) -> None:
        """Answer a request that was not admitted.

        A keyed write gets the outcome ``unknown``: the caller may be
        repeating it, and only the owner of its key slot knows whether an
        earlier attempt ran.
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

    def _begin(self, pending: PendingRequest, now: timedelta) -> None:
        if not pending.key:
            self._place(pending, now)
            return
        decision = self._keyed.begin(pending, now)
        if isinstance(decision, DispatchPermit):
            pending.permit = decision
            self._place(pending, now)
        elif isinstance(decision, Path):
            pending.forwarded = True
            self._attempts.forward(pending, decision, pending.key, now)
        elif isinstance(decision, Reason):
            pending.may_have_run = decision not in _NOT_RUN_REASONS
            self._end_failed(pending, decision)
        else:
            self._end(pending, decision)

    def _place(self, pending: PendingRequest, now: timedelta) -> None:
        permit = pending.permit
        if permit is not None and not self._keyed.may_run(permit, now):
            self._lose_ownership(pending)
            return
        pending.restart_unless_called()
        placement = self._placements.place(pending, now)
        selected = placement.selected
        if placement.rate_limited:
            self._end_failed(pending, Reason.rate_limited)
            return
        if selected is None:
            if placement.far_only:
                pending.last_reason = Reason.region_link
            self._no_candidate(pending, now)
            return
        if selected.candidate.daemon == self._own.daemon:
            self._attempts.send_local(pending, selected, now)
            return
        path = self._paths.ready(selected.candidate.daemon)
        if path is None:
            # Another one is selected while the path to this one is opening; if
            # none is left, the request waits for a path to open.
            candidate = selected.candidate
            self._paths.want(candidate.daemon, candidate.address, now)
            pending.excluded.add(candidate.upstream)
            pending.unopened.append(candidate)
            self._place(pending, now)
            return
        self._attempts.send(pending, selected, path, now)

    def _lose_ownership(self, pending: PendingRequest) -> None:
        """End a write whose key slot was lost before it was dispatched.

        It did not run here, but the caller may have repeated it and the new
        owner of the slot may have run that attempt.
        """
        # Request id 0: the refusal belongs to no attempt. ``no_home`` is the
        # wire name for "no owner".
        not_run = Refusal(RequestId(0), Reason.no_home, Outcome.not_run)
        self._keyed.finish(pending, not_run)
        pending.permit = None
        pending.may_have_run = True
        self._end_failed(pending, Reason.no_home)

    def _no_candidate(self, pending: PendingRequest, now: timedelta) -> None:
        if pending.attempts:
            _give_up_second(pending, self._seconds, self._budgets, now)
            return
        # Counts as a move; at the limit of moves, the upstreams that refused
        # the request are candidates again.
        if pending.movable and pending.moves:
            self._move(pending, now)
            return
        if pending.idempotent or not pending.may_have_run:
            # A path that is still opening may be open before the deadline.
            daemons = [each.daemon for each in pending.unopened]
            pending.forget_unopened()
            if any(map(self._paths.ready, daemons)):
                self._place(pending, now)
                return
            if self.candidates.opening(pending.route.service):
                return
        self._end_failed(pending, pending.last_reason)

    def _attempt_answered(
        self,
        pending: PendingRequest,
        attempt: Attempt,
        message: Answer,
        now: timedelta,
    ) -> None:
        self._attempts.drop(pending, attempt)
        _settle_link(self._link, pending, attempt, len(message.body))
        if attempt.free_slot_only:
            self._overflow.found(attempt.candidate)
        self._throttles.accepted(throttle_key(pending), now)
        self.candidates.report(attempt.candidate, message.load, now)
        if not _is_complete(message):
            self._outbox.emit(
                Record('answer-damaged', {'peer': attempt.daemon})
            )
            self._attempt_failed(pending, Reason.connection_lost, now)
            return
        if not pending.forwarded:
            self._baselines.reported(pending.route.name, message.usual_ms)
            self._baselines.add(
                pending.route.service,
                pending.route.name,
                attempt.candidate.upstream,
                message.service_ms,
                error=message.status >= _HTTP_ERROR,
            )
        if message.status >= _HTTP_ERROR and pending.idempotent:
            pending.fallback = message
            if pending.attempts:
                return
            if _spend_retry(self._budgets, pending):
                pending.begin_retry()
                self._place(pending, now)
                return
        if message.status < _HTTP_ERROR:
            self._seconds.succeeded(pending, attempt, now)
        self._attempts.cancel(pending, now)
        self._end(pending, message)

    def _attempt_refused(
        self,
        pending: PendingRequest,
        attempt: Attempt,
        message: Refusal,
        now: timedelta,
    ) -> None:
        self._attempts.drop(pending, attempt)
        self._outbox.emit(_attempt_ended_record(pending, attempt, message))
        if message.load is not None:
            self.candidates.report(
                attempt.candidate,
                message.load,
                now,
                limit_refused=message.reason is Reason.rate_limited,
            )
        is_full = attempt.free_slot_only and message.reason is Reason.busy
        if self._seconds.refused(pending, attempt, message, now) or is_full:
            self._attempts.found_full(pending, attempt, now)
            self._place(pending, now)
            return
        if message.reason is Reason.rate_limited:
            self._limit_refused(pending, attempt, now)
            return
        if message.reason is Reason.busy and pending.service.free_slot_tries:
            pending.end_queue_turn(attempt.candidate)
            self._place(pending, now)
            return
        if message.reason is Reason.busy:
            self._move(pending, now)
            return
        if message.reason is Reason.retry_budget:
            pending.retry_refusers.add(attempt.candidate.upstream)
            self._redispatch_retry(pending, now)
            return
        pending.last_reason = message.reason
        if pending.forwarded:
            pending.may_have_run = message.outcome is not Outcome.not_run
            self._end_failed(pending, message.reason)
            return
        if message.outcome is Outcome.not_run:
            self._reroute(pending, message, now)
            return
        self._attempt_failed(pending, message.reason, now)

    def _limit_refused(
        self, pending: PendingRequest, attempt: Attempt, now: timedelta
    ) -> None:
        """Dispatch a request elsewhere that exceeds a rate limit."""
        pending.last_reason = Reason.rate_limited
        pending.limit_refusals += 1
        if attempt.waits:
            pending.reroutes += 1
        else:
            # It may still wait there if no other upstream is left.
            pending.excluded.discard(attempt.candidate.upstream)
        if pending.attempts:
            return
        if pending.reroutes >= OVERLOADED_LIMIT:
            self._end_failed(pending, Reason.rate_limited)
            return
        self._place(pending, now)

    def _redispatch_retry(
        self, pending: PendingRequest, now: timedelta
    ) -> None:
        """Dispatch a retry elsewhere, as this upstream's budget is spent."""
        if pending.attempts:
            return
        pending.retry_refusals += 1
        if pending.retry_refusals >= RETRY_OFFER_LIMIT:
            self._end_failed(pending, pending.last_reason)
            return
        self._place(pending, now)

    def _move(self, pending: PendingRequest, now: timedelta) -> None:
        """Move an interactive request that a busy upstream refused.

        A move is a new dispatch after the egress refused the request instead
        of queueing it. The selection already uses the load that came with the
        refusal. At the limit of moves, upstreams that refused it are
        candidates again.
        """
        pending.moves += 1
        if pending.attempts:
            return
        if pending.moves >= MOVE_LIMIT:
            pending.excluded.clear()
        self._place(pending, now)

    def _reroute(
        self, pending: PendingRequest, message: Refusal, now: timedelta
    ) -> None:
        if pending.attempts:
            return
        if message.reason is not Reason.draining:
            # A refusal by one that is leaving says nothing about the others.
            # It is excluded, unless the request waits for a path to open.
            pending.reroutes += 1
        final = message.reason is Reason.crashes_upstreams
        if message.reason is Reason.upstream_failed:
            # The egress called the upstream, which refused the connection. As
            # after any failed call, another attempt is a retry and counts
            # against the retry budget.
            pending.called = True
            budget = self._budgets[pending.route.service]
            final = not budget.spend()
        limit = REROUTE_LIMIT
        if pending.full:
            # Queued only after others had no free slot either.
            final = final or message.reason is Reason.overloaded
        # The time budget was used up in a queue; another upstream would have
        # even less time.
        final = final or message.reason is Reason.deadline
        if message.reason is Reason.overloaded:
            limit = OVERLOADED_LIMIT
            pending.overloaded = True
            self._throttles.refused(throttle_key(pending), now)
        else:
            self._throttles.accepted(throttle_key(pending), now)
        if final or pending.reroutes >= limit:
            self._end_failed(pending, message.reason)
            return
        self._place(pending, now)

    def _not_seen(
        self, pending: PendingRequest, attempt: Attempt, now: timedelta
    ) -> None:
        self._attempts.drop(pending, attempt)
        if now >= pending.deadline:
            # After the deadline the egress may have ended and forgotten
            # it, so the answer does not prove that it never arrived.
            self._attempt_failed(pending, Reason.deadline, now)
        elif pending.forwarded:
            self._begin(pending, now)
        elif not pending.attempts:
            pending.reroutes += 1
            self._place(pending, now)

    def _attempt_failed(
        self, pending: PendingRequest, reason: Reason, now: timedelta
    ) -> None:
        """Retry or end a request after an attempt that may have run."""
        pending.may_have_run = True
        pending.last_reason = reason
        if pending.attempts:
            return
        if _spend_retry(self._budgets, pending):
            pending.begin_retry()
            self._place(pending, now)
            return
        self._end_failed(pending, reason)

    def _lose_attempt(
        self,
        pending: PendingRequest,
        attempt: Attempt,
        path: Path,
        now: timedelta,
    ) -> None:
        already_lost = attempt.lost
        attempt.lost = True
        self._overflow.lost(attempt.candidate, now)
        unreachable = path.state is PathState.failed and path.refused
        if unreachable:
            self._attempts.drop(pending, attempt)
            self._attempt_failed(pending, Reason.connection_lost, now)
        elif not already_lost and _spend_retry(self._budgets, pending):
            pending.begin_retry()
            self._place(pending, now)

    def _reattach(
        self,
        pending: PendingRequest,
        attempt: Attempt,
        path: Path,
        now: timedelta,
    ) -> None:
        if path.incarnation != attempt.incarnation:
            self._attempts.drop(pending, attempt)
            self._attempt_failed(pending, Reason.connection_lost, now)
            return
        self._attempts.reattach(attempt, path)

    def _expire_contained(
        self, pending: PendingRequest, now: timedelta
    ) -> None:
        """Answer a request at its deadline, also if its state is broken."""
        step = self._outbox.contain('deadline')
        with step:
            self._expire(pending, now)
        if step.failed and not pending.done:
            pending.may_have_run = True
            with self._outbox.contain('deadline-refusal'):
                self._end_failed(pending, Reason.deadline)

    def _expire(self, pending: PendingRequest, now: timedelta) -> None:
        if pending.attempts:
            pending.may_have_run = True
        if pending.permit is not None and pending.attempts:
            self._await_record(pending)
            return
        self._seconds.expired(pending, now)
        self._attempts.cancel(pending, now)
        self._end_failed(pending, Reason.deadline)

    def _await_record(self, pending: PendingRequest) -> None:
        """Answer a keyed write at its deadline, but wait for its result.

        The result is still needed for the record of the key.
        """
        if pending.deadline_passed:
            self._end_failed(pending, Reason.deadline)
            return
        if not pending.answered:
            self._reply(
                pending,
                Refusal(RequestId(0), Reason.deadline, Outcome.unknown),
            )
        pending.answered = True
        pending.deadline_passed = True
        until = pending.deadline + WRITE_GRACE + RECORD_MARGIN
        heapq.heappush(self._deadlines, (until, pending.exchange))

    def _end_failed(self, pending: PendingRequest, reason: Reason) -> None:
        if pending.fallback is not None:
            self._end(pending, pending.fallback)
            return
        outcome = Outcome.not_run
        if pending.may_have_run or (pending.key and pending.awaits_token):
            # Only the owner of its key knows whether an earlier attempt ran.
            outcome = Outcome.unknown
        retry_after_ms = self._throttles.retry_after_ms(throttle_key(pending))
        if reason is Reason.rate_limited:
            retry_after_ms = self.candidates.limited.retry_after_ms(
                pending.route.service, self._outbox.now
            )
        self._outbox.emit(
            Record(
                'request-failed',
                {
                    'outcome': outcome.value,
                    'reason': reason.value,
                    'route': pending.route.name,
                },
            )
        )
        self._end(
            pending,
            Refusal(
                RequestId(0),
                reason,
                outcome,
                retry_after_ms,
            ),
        )

    def _end(self, pending: PendingRequest, message: Answer | Refusal) -> None:
        """Record the result of a request and answer it."""
        if pending.permit is not None:
            self._keyed.finish(pending, message)
        if not pending.answered:
            self._reply(pending, message)
        self._finish(pending)

    def _reply(
        self, pending: PendingRequest, message: Answer | Refusal
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
                    'request': pending.tag or pending.exchange,
                    'exchange': pending.exchange,
                    'outcome': outcome.value,
                    'reason': reason,
                    'status': status,
                    'bundle': self._accounts.version,
                    'waited_ms': in_ms(self._outbox.now - pending.arrived),
                    'late_ms': in_ms(self._outbox.now - pending.deadline),
                },
                detail=True,
            )
        )
        origin = pending.origin
        if origin:
            self._egress.send_owner_answer(
                origin, pending.reply_stream, message, pending.deadline
            )
        elif isinstance(message, Answer):
            self._outbox.emit(completion(pending.exchange, message))
        else:
            self._outbox.emit(
                refusal(
                    pending.exchange,
                    message.outcome,
                    message.reason,
                    retry_after_ms=message.retry_after_ms,
                )
            )

    def _finish(self, pending: PendingRequest) -> None:
        pending.done = True
        self._pending.pop(pending.exchange, None)
        if pending.origin is None:
            self._accounts.count(pending.caller, -1)
        if pending.origin in self._origins:
            self._origins.pop(pending.origin)


def _attempt_ended_record(
    pending: PendingRequest, attempt: Attempt, message: Refusal
) -> Record:
    return Record(
        'attempt-ended',
        {
            'request': pending.tag,
            'attempt': attempt.request,
            'upstream': attempt.candidate.upstream,
            'peer': attempt.daemon,
            'outcome': message.outcome.value,
            'reason': message.reason.value,
            'detail': message.detail,
        },
        detail=True,
    )


def throttle_key(pending: PendingRequest) -> Hashable:
    """Return the key under which refusals as overloaded are counted."""
    route = pending.route
    return route.service, route.name, pending.caller.name, pending.priority


def _was_on_earlier_stream(attempt: Attempt, path: Path) -> bool:
    """Return whether an attempt was sent on an earlier stream of a path."""
    if attempt.daemon != path.daemon or attempt.stream is None:
        return False
    return attempt.lost or attempt.stream != path.stream


def _is_blocked(
    poison_requests: PoisonRequests, pending: PendingRequest, now: timedelta
) -> bool:
    """Return whether a request is known to crash upstreams."""
    if not len(poison_requests):
        return False
    subject = request_fingerprint(
        pending.method,
        pending.host,
        pending.target,
        pending.body,
        pending.caller.name,
    )
    return poison_requests.check(subject, now) is PoisonStatus.blocked


def _deadline_ms(event: CallerRequest, route: Route) -> int:
    requested = headers.get(event.headers, headers.DEADLINE.lower())
    if requested is None or not requested.isdigit():
        return route.deadline_ms
    if len(requested) > DEADLINE_DIGITS:
        return route.deadline_ms
    return max(1, min(route.deadline_ms, int(requested)))


def _settle_link(
    link: LinkBudget,
    pending: PendingRequest,
    attempt: Attempt,
    response_bytes: int,
) -> None:
    """Correct the charge of an attempt, and note the size of its response."""
    if attempt.link_bytes:
        link.settle(pending.route.name, attempt.link_bytes, response_bytes)
    elif pending.service.overflow:
        link.observe(pending.route.name, response_bytes)


def _upstream_headers(
    event: CallerRequest, admitted: Admitted, origin: str
) -> Headers:
    return headers.upstream_request_headers(
        event.headers,
        origin or admitted.caller.name,
        admitted.account if origin else '',
        keeps_authorization=bool(origin),
    )


def _key_of(event: CallerRequest, route: Route) -> str:
    if route.idempotent:
        return ''
    key = headers.get(event.headers, headers.IDEMPOTENCY_KEY)
    return key.decode('latin-1') if key else ''


def _is_complete(message: Answer) -> bool:
    if len(message.body) != message.length:
        return False
    return xxhash.xxh3_64_intdigest(message.body) == message.digest


def _spend_retry(
    budgets: Mapping[ServiceName, RetryBudget], pending: PendingRequest
) -> bool:
    """Return whether a request may be retried, and count the retry."""
    if not pending.idempotent or not _may_attempt_again(pending):
        return False
    return budgets[pending.route.service].spend()


def _give_up_second(
    pending: PendingRequest,
    seconds: SecondAttempts,
    budgets: Mapping[ServiceName, RetryBudget],
    now: timedelta,
) -> None:
    """Keep the retry of a request whose second attempt found no place."""
    if pending.hedged:
        seconds.give_up(pending, budgets[pending.route.service], now)
        return
    for attempt in pending.attempts.values():
        attempt.hedge_failed = True
    if pending.service.free_slot_tries and pending.retries:
        pending.retries -= 1
        budgets[pending.route.service].add(1)


def _may_attempt_again(pending: PendingRequest) -> bool:
    """Return whether the request's attempt limit allows another attempt."""
    limit = min(ATTEMPT_LIMIT, pending.route.attempt_limit)
    return pending.retries < limit - 1


def _starts_second(
    pending: PendingRequest,
    seconds: SecondAttempts,
    budgets: Mapping[ServiceName, RetryBudget],
    now: timedelta,
) -> bool:
    """Return whether a second attempt starts, and count it."""
    if len(pending.attempts) != 1 or not _may_attempt_again(pending):
        return False
    attempt = next(iter(pending.attempts.values()))
    if attempt.hedge_failed:
        return False
    rule = _slow_after(pending, attempt)
    if not seconds.covers(pending):
        is_slow = now - attempt.sent_at >= rule
        return is_slow and _spend_retry(budgets, pending)
    if not pending.idempotent:
        return False
    return seconds.start(pending, rule, budgets[pending.route.service], now)


def _slow_after(pending: PendingRequest, attempt: Attempt) -> timedelta:
    """Return the age at which an attempt is slow by its expected time."""
    if not attempt.expected_ms:
        return _hedge_unknown_after(pending.route)
    return _hedge_after(attempt, pending.service.hedge_pct / 100)


def _hedge_unknown_after(route: Route) -> timedelta:
    """Return the age at which a request without an expected time is hedged.

    The target latency of its route bounds what its service time may be.
    """
    return max(HEDGE_UNKNOWN_AFTER, ms(route.target_ms))


def _hedge_after(attempt: Attempt, factor: float = HEDGE_FACTOR) -> timedelta:
    expected_ms = attempt.expected_ms * factor
    # Queueing is no sign of a fault, and a second attempt would queue too.
    expected_ms += attempt.queue_ms * HEDGE_QUEUE_FACTOR
    return max(HEDGE_AFTER, ms(expected_ms))
