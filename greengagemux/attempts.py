"""Dispatches of pending requests to egress daemons and slot owners."""

from datetime import timedelta

from .answers import Origin
from .baselines import Baselines
from .selection import Candidate, Nearness, Selection
from .clocks import in_ms
from .effects import Outbox, Record, Send
from .ids import CallerName, RequestId, UpstreamId
from .egress import Egress
from .limitedupstreams import TOLERATED_WAIT, LimitedUpstreams
from .overflow.decisions import Overflow
from .messages import Cancel, Dispatch, Inquire, MemberRecord, UpstreamState
from .paths import Path, Paths
from .regionlinks import LinkBudget
from .requests import Attempt, PendingRequest

#: Time in the queue of one upstream after which free slots are tried again.
QUEUE_TURN = timedelta(milliseconds=200)
#: Turns after which a request stays in the queue.
QUEUE_TURNS = 4
#: An empty upstream id asks the owner of the key slot to run the request.
VIA_OWNER = UpstreamId('')


class Attempts:
    """Attempts that have been dispatched and have not ended."""

    def __init__(
        self,
        own: MemberRecord,
        egress: Egress,
        paths: Paths,
        outbox: Outbox,
        baselines: Baselines,
        link: LinkBudget,
        limited: LimitedUpstreams,
        overflow: Overflow,
    ) -> None:
        """Start without dispatches."""
        self._limited = limited
        self._overflow = overflow
        self._own = own
        self._egress = egress
        self._paths = paths
        self._outbox = outbox
        self._baselines = baselines
        self._link = link
        self._pending: dict[RequestId, PendingRequest] = {}
        self._next_request = 1

    def find(self, request: RequestId) -> PendingRequest | None:
        """Return the pending request of an attempt, None if it has ended."""
        return self._pending.get(request)

    def send_local(
        self, pending: PendingRequest, selected: Selection, now: timedelta
    ) -> None:
        """Dispatch to an upstream beside this daemon."""
        attempt, message = self._attempt(pending, selected, now)
        self._egress.dispatch(self._origin(attempt), None, message, now)

    def send(
        self,
        pending: PendingRequest,
        selected: Selection,
        path: Path,
        now: timedelta,
    ) -> None:
        """Dispatch to another daemon on its open path."""
        attempt, message = self._attempt(pending, selected, now)
        self._send(attempt, message, path, now)

    def forward(
        self, pending: PendingRequest, path: Path, key: str, now: timedelta
    ) -> None:
        """Forward a keyed write on an open path to the owner of its slot."""
        owner = Candidate(
            upstream=VIA_OWNER,
            daemon=path.daemon,
            service=pending.route.service,
            slots=0,
            state=UpstreamState.serving,
        )
        attempt, message = self._attempt(
            pending, Selection(owner, False), now, key
        )
        self._send(attempt, message, path, now)

    def reattach(self, attempt: Attempt, path: Path) -> None:
        """Inquire after an attempt on a new stream to its daemon."""
        if path.stream is None:
            return
        attempt.stream = path.stream
        self._outbox.emit(Send(path.stream, Inquire(attempt.request)))

    def cancel(self, pending: PendingRequest, now: timedelta) -> None:
        """Cancel all attempts of a request, here and at their daemons."""
        for attempt in tuple(pending.attempts.values()):
            self.drop(pending, attempt)
            if attempt.daemon == self._own.daemon:
                self._egress.cancel(self._origin(attempt), now)
            elif attempt.stream is not None:
                self._outbox.emit(Send(attempt.stream, Cancel(attempt.request)))

    def drop(self, pending: PendingRequest, attempt: Attempt) -> None:
        """Forget an attempt that has ended."""
        pending.attempts.pop(attempt.request, None)
        self._pending.pop(attempt.request, None)
        attempt.candidate.outstanding -= 1
        path = self._paths.by_daemon.get(attempt.daemon)
        if path is not None and attempt.stream is not None:
            path.waiting -= 1

    def found_full(
        self, pending: PendingRequest, attempt: Attempt, now: timedelta
    ) -> None:
        """Note that the upstream of a try for a free slot had none."""
        pending.full.append(attempt.candidate)
        self._overflow.refused(attempt.candidate, now)
        # No response comes over the link between regions.
        self._link.refund(attempt.link_bytes)

    def _attempt(
        self,
        pending: PendingRequest,
        selected: Selection,
        now: timedelta,
        key: str = '',
    ) -> tuple[Attempt, Dispatch]:
        candidate = selected.candidate
        request = RequestId(self._next_request)
        self._next_request += 1
        expected = self._baselines.expect(
            pending.route.service, pending.route.name, candidate.upstream
        )
        expected_ms = expected.service_ms
        attempt = Attempt(request, candidate, selected.forced, now, expected_ms)
        attempt.queue_ms = candidate.wait_ms()
        attempt.waits = selected.waits
        attempt.free_slot_only = selected.free_slot_only
        attempt.hedge = pending.seeks_hedge
        if selected.waits:
            attempt.queue_ms += self._limited.wait_ms(candidate, now)
        self._limited.sent(candidate, now)
        if candidate.nearness is Nearness.other_region:
            attempt.link_bytes = self._link.charge(
                pending.route.name, len(pending.body)
            )
        self._record_placement(pending, attempt, now)
        self._record_overflow(pending, attempt)
        if pending.service.overflow and selected.free_slot_only:
            self._overflow.sent(candidate, now)
        pending.attempts[request] = attempt
        pending.excluded.add(candidate.upstream)
        if not selected.free_slot_only:
            pending.queued_at.add(candidate.upstream)
        self._pending[request] = pending
        candidate.outstanding += 1
        route = pending.route
        return attempt, Dispatch(
            request=request,
            upstream=candidate.upstream,
            service=route.service,
            route=route.name,
            method=pending.method,
            target=pending.target,
            headers=pending.headers,
            body=pending.body,
            remaining_ms=max(1, int(in_ms(pending.deadline - now))),
            answer_limit_bytes=route.answer_limit_bytes,
            priority=pending.priority,
            caller=CallerName(pending.caller.name),
            idempotent=pending.idempotent,
            key=key,
            expected_ms=expected_ms,
            peer_errors=expected.error_share,
            host=pending.host,
            tag=pending.tag,
            forced=selected.forced,
            echo=route.echo_header,
            team=pending.caller.team or '',
            retry=pending.retried,
            movable=pending.movable,
            target_ms=_target_ms(pending, now),
            limit_wait_ms=_limit_wait_ms(pending, selected, now),
            rate_limit_per_s=self._limited.limit_per_s(candidate),
            free_slot_only=selected.free_slot_only,
            queue_turn_ms=queue_turn_ms(pending, selected, now),
            hedge=attempt.hedge,
        )

    def _record_placement(
        self, pending: PendingRequest, attempt: Attempt, now: timedelta
    ) -> None:
        candidate = attempt.candidate
        self._outbox.emit(
            Record(
                'request-placed',
                {
                    'request': pending.tag,
                    'exchange': pending.exchange,
                    'attempt': attempt.request,
                    'route': pending.route.name,
                    'upstream': candidate.upstream,
                    'peer': candidate.daemon,
                    'nearness': candidate.nearness.name,
                    'state': candidate.state.value,
                    'state_age_ms': in_ms(now - candidate.state_updated_at),
                    'placed': candidate.placed(),
                    'forced': attempt.forced,
                    'waits': attempt.waits,
                    'left_ms': in_ms(pending.deadline - now),
                },
                detail=True,
            )
        )

    def _record_overflow(
        self, pending: PendingRequest, attempt: Attempt
    ) -> None:
        """Record that a request leaves the region as its upstreams are full."""
        candidate = attempt.candidate
        if candidate.nearness is not Nearness.other_region:
            return
        if not pending.service.overflow:
            return
        if not attempt.free_slot_only and not pending.full:
            return
        self._outbox.emit(
            Record(
                'request-overflowed',
                {
                    'request': pending.tag,
                    'exchange': pending.exchange,
                    'attempt': attempt.request,
                    'service': candidate.service,
                    'upstream': candidate.upstream,
                    'region': candidate.region,
                    'free_slot_only': attempt.free_slot_only,
                    'tried': len(pending.full),
                },
            )
        )

    def _send(
        self, attempt: Attempt, message: Dispatch, path: Path, now: timedelta
    ) -> None:
        if path.stream is None:
            return
        attempt.stream = path.stream
        attempt.incarnation = path.incarnation
        path.waiting += 1
        path.used_at = now
        if path.waiting == 1:
            # Silence counts only while an answer is pending.
            path.received_at = now
        suspects_for = self._egress.suspects_for(message, now)
        if suspects_for.entries:
            # On the same stream, the hint arrives before the dispatch.
            self._outbox.emit(Send(path.stream, suspects_for))
        self._outbox.emit(Send(path.stream, message))

    def _origin(self, attempt: Attempt) -> Origin:
        return Origin(self._own.daemon, self._own.incarnation, attempt.request)


def queue_turn_ms(
    pending: PendingRequest, selected: Selection, now: timedelta
) -> int:
    """Return after which time in a queue a request is tried elsewhere.

    A slot may become free at another upstream first. 0 for a request that
    isn't tried for free slots, or has little time left.
    """
    if not pending.service.free_slot_tries or selected.waits:
        return 0
    is_last = pending.deadline - now < 2 * QUEUE_TURN
    if is_last or pending.queue_turns >= QUEUE_TURNS:
        return 0
    return int(in_ms(QUEUE_TURN))


def is_via_owner(message: Dispatch) -> bool:
    """Return whether a dispatch is for the owner of its key slot."""
    return message.upstream == VIA_OWNER


def _limit_wait_ms(
    pending: PendingRequest, selected: Selection, now: timedelta
) -> int:
    if not selected.waits:
        return int(in_ms(TOLERATED_WAIT))
    return max(0, int(in_ms(pending.deadline - now)))


def _target_ms(pending: PendingRequest, now: timedelta) -> int:
    target_ms = pending.route.target_ms
    if not target_ms:
        return 0
    if pending.waits_until_deadline:
        return max(1, int(in_ms(pending.deadline - now)))
    return max(1, int(target_ms - in_ms(now - pending.arrived)))
