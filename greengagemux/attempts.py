"""Dispatches of an entrance's requests to last hops and homes."""

from datetime import timedelta

from .answers import Origin
from .baselines import Baselines
from .selection import Candidate, Nearness, Pick
from .clocks import in_ms
from .effects import Outbox, Record, Send
from .ids import CallerName, RequestId, UpstreamId
from .egress import Egress
from .messages import Cancel, Dispatch, Inquire, MemberRecord, UpstreamState
from .paths import Path, Paths
from .regionlinks import LinkBudget
from .requests import Attempt, PendingRequest

#: A dispatch without an upstream asks the home of its key to run it.
VIA_OWNER = UpstreamId('')


class Attempts:
    """Every dispatch that has no final reply yet."""

    def __init__(
        self,
        own: MemberRecord,
        egress: Egress,
        paths: Paths,
        outbox: Outbox,
        baselines: Baselines,
        link: LinkBudget,
    ) -> None:
        """Start without dispatches."""
        self._own = own
        self._egress = egress
        self._paths = paths
        self._outbox = outbox
        self._baselines = baselines
        self._link = link
        self._waiting: dict[RequestId, PendingRequest] = {}
        self._next_request = 1

    def find(self, request: RequestId) -> PendingRequest | None:
        """Return the request that an attempt belongs to."""
        return self._waiting.get(request)

    def send_local(
        self, waiting: PendingRequest, pick: Pick, now: timedelta
    ) -> None:
        """Dispatch to an upstream beside this daemon."""
        attempt, message = self._attempt(waiting, pick, now)
        self._egress.dispatch(self._origin(attempt), None, message, now)

    def send(
        self, waiting: PendingRequest, pick: Pick, path: Path, now: timedelta
    ) -> None:
        """Dispatch to another daemon on its open path."""
        attempt, message = self._attempt(waiting, pick, now)
        self._send(attempt, message, path, now)

    def forward(
        self, waiting: PendingRequest, path: Path, key: str, now: timedelta
    ) -> None:
        """Ask the home of a key, behind an open path, to run a write."""
        home = Candidate(
            upstream=VIA_OWNER,
            daemon=path.daemon,
            service=waiting.route.service,
            slots=0,
            state=UpstreamState.serving,
        )
        attempt, message = self._attempt(waiting, Pick(home, False), now, key)
        self._send(attempt, message, path, now)

    def reattach(self, attempt: Attempt, path: Path) -> None:
        """Ask on a new stream what became of a dispatch."""
        if path.stream is None:
            return
        attempt.stream = path.stream
        self._outbox.emit(Send(path.stream, Inquire(attempt.request)))

    def cancel(self, waiting: PendingRequest, now: timedelta) -> None:
        """Give up all attempts of a request."""
        for attempt in tuple(waiting.attempts.values()):
            self.drop(waiting, attempt)
            if attempt.daemon == self._own.daemon:
                self._egress.cancel(self._origin(attempt), now)
            elif attempt.stream is not None:
                self._outbox.emit(Send(attempt.stream, Cancel(attempt.request)))

    def drop(self, waiting: PendingRequest, attempt: Attempt) -> None:
        """Forget an attempt that has ended."""
        waiting.attempts.pop(attempt.request, None)
        self._waiting.pop(attempt.request, None)
        attempt.candidate.outstanding -= 1
        path = self._paths.by_daemon.get(attempt.daemon)
        if path is not None and attempt.stream is not None:
            path.waiting -= 1

    def _attempt(
        self, waiting: PendingRequest, pick: Pick, now: timedelta, key: str = ''
    ) -> tuple[Attempt, Dispatch]:
        candidate = pick.candidate
        request = RequestId(self._next_request)
        self._next_request += 1
        expected = self._baselines.expect(
            waiting.route.service, waiting.route.name, candidate.upstream
        )
        expected_ms = expected.service_ms
        attempt = Attempt(request, candidate, pick.forced, now, expected_ms)
        attempt.queue_ms = _queue_ms(candidate)
        if candidate.nearness is Nearness.other_region:
            attempt.link_bytes = self._link.charge(
                waiting.route.name, len(waiting.body)
            )
        self._note(waiting, attempt, now)
        waiting.attempts[request] = attempt
        waiting.excluded.add(candidate.upstream)
        self._waiting[request] = waiting
        candidate.outstanding += 1
        route = waiting.route
        return attempt, Dispatch(
            request=request,
            upstream=candidate.upstream,
            service=route.service,
            route=route.name,
            method=waiting.method,
            target=waiting.target,
            headers=waiting.headers,
            body=waiting.body,
            remaining_ms=max(1, int(in_ms(waiting.deadline - now))),
            answer_limit_bytes=route.answer_limit_bytes,
            priority=waiting.priority,
            caller=CallerName(waiting.caller.name),
            idempotent=waiting.idempotent,
            key=key,
            expected_ms=expected_ms,
            peer_errors=expected.error_share,
            host=waiting.host,
            tag=waiting.tag,
            forced=pick.forced,
            echo=route.echo_header,
            team=waiting.caller.team or '',
            retry=waiting.retried,
            movable=waiting.movable,
            target_ms=_target_ms(waiting, now),
        )

    def _note(
        self, waiting: PendingRequest, attempt: Attempt, now: timedelta
    ) -> None:
        candidate = attempt.candidate
        self._outbox.emit(
            Record(
                'request-placed',
                {
                    'request': waiting.tag,
                    'exchange': waiting.exchange,
                    'attempt': attempt.request,
                    'route': waiting.route.name,
                    'upstream': candidate.upstream,
                    'peer': candidate.daemon,
                    'nearness': candidate.nearness.name,
                    'state': candidate.state.value,
                    'state_age_ms': in_ms(now - candidate.told_at),
                    'placed': candidate.placed(),
                    'forced': attempt.forced,
                    'left_ms': in_ms(waiting.deadline - now),
                },
                detail=True,
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
            # Silence is measured from the moment an answer is expected.
            path.received_at = now
        hint = self._egress.hint(message, now)
        if hint.entries:
            # On the same stream, the hint arrives before the request.
            self._outbox.emit(Send(path.stream, hint))
        self._outbox.emit(Send(path.stream, message))

    def _origin(self, attempt: Attempt) -> Origin:
        return Origin(self._own.daemon, self._own.incarnation, attempt.request)


def is_via_owner(message: Dispatch) -> bool:
    """Return whether a dispatch is for the home of its key."""
    return message.upstream == VIA_OWNER


def _queue_ms(candidate: Candidate) -> float:
    queued = max(0, candidate.placed() + 1 - candidate.slots)
    return queued * candidate.service_ms / max(1, candidate.slots)


def _target_ms(waiting: PendingRequest, now: timedelta) -> int:
    target_ms = waiting.route.target_ms
    if not target_ms:
        return 0
    return max(1, int(target_ms - in_ms(now - waiting.arrived)))
