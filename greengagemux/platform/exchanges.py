"""Headers of callers and upstreams, translated at the edges."""

from typing import Final

from .. import headers
from ..connections import UpstreamCalls
from ..effects import CallUpstream, Respond
from ..events import (
    CallerRequest,
    CallFault,
    Event,
    UpstreamAnswered,
    UpstreamFailed,
)
from ..listeners import CallerListener, Exchange
from ..messages import Headers
from ..outcomes import Failure, Outcome, Step

#: Identity that a caller gives its request and the upstream repeats.
REQUEST_ID: Final = b'request-id'
#: Milliseconds that the caller, or the daemon, still waits.
DEADLINE: Final = b'Deadline-Ms'
#: Names the upstream that shall run the request; others refuse it.
INSTANCE: Final = b'Expect-Instance'
#: Service beside which the request began.
CALLER: Final = b'Caller-Service'
#: Mark of an upstream on what it has computed itself.
SEAL: Final = b'response-seal'
#: The upstream has not run the request.
NOT_RUN: Final = b'not-executed'

_MISDIRECTED: Final = 421
_BAD_GATEWAY: Final = 502
_UNAVAILABLE: Final = 503
_SERVER_ERRORS: Final = 500
_SUCCESS: Final = range(200, 300)
#: Statuses that promise that a request has not run and never will.
_PROMISES: Final = frozenset((408, 421, 429, _UNAVAILABLE))
#: Statuses of the daemon's own that tell a caller what is wrong with it.
_KEPT: Final = frozenset((400, 404, 413))
#: Set by the daemon, whatever a caller sends; its identity travels apart.
_OWN: Final = frozenset(
    (DEADLINE.lower(), INSTANCE.lower(), CALLER.lower(), REQUEST_ID)
)
#: What an upstream says of its connection and itself; bytes between data
#: centres are paid for.
_LOCAL: Final = frozenset(
    (
        b'connection',
        b'content-length',
        b'instance-id',
        b'keep-alive',
        b'server-load',
        b'transfer-encoding',
    )
)
#: Callers wait for at most a third of the time that they have left.
RETRY_AFTER: Final = b'Retry-After'
RETRY_AFTER_S: Final = b'0.2'


class PlatformListener(CallerListener):
    """Listener for callers that speak the platform's headers."""

    #: Callers here pipeline only requests that may be repeated.
    pipeline_limit = 16

    def request_of(self, exchange: Exchange) -> CallerRequest:
        """Return a request as an event."""
        return _from_caller(super().request_of(exchange))

    def respond(self, effect: Respond) -> None:
        """Answer a caller that still waits."""
        super().respond(_to_caller(effect))


class PlatformCalls(UpstreamCalls):
    """Calls to the upstream beside this daemon."""

    #: Below the time after which upstreams close idle connections.
    pooled_for_s = 4
    accepts_unframed = True

    def headers_of(self, effect: CallUpstream) -> Headers:
        """Return the headers as the upstream reads them."""
        made = [
            (INSTANCE, effect.upstream.encode()),
            (REQUEST_ID, effect.tag.encode('latin-1')),
        ]
        names = {
            headers.DEADLINE: DEADLINE,
            headers.CALLER: CALLER,
            headers.REQUEST_ID: b'',
        }
        for name, content in effect.headers:
            known = names.get(name, name)
            if known:
                made.append((known, content))
        return tuple(made)

    def is_foreign(self, effect: CallUpstream, answer: Headers) -> bool:
        """Return whether an answer repeats another identity."""
        if headers.get(answer, NOT_RUN) is not None:
            return False
        echoed = headers.get(answer, REQUEST_ID) or b''
        return echoed != effect.tag.encode('latin-1')

    def ended(
        self, effect: CallUpstream, status: int, answer: Headers, body: bytes
    ) -> Event:
        """Return the event for a whole answer."""
        if headers.get(answer, NOT_RUN) is not None:
            return _failed(effect, CallFault.shed, f'shed with {status}', False)
        if status == _MISDIRECTED:
            detail = 'another instance has the address'
            return _failed(effect, CallFault.replaced, detail, False)
        if status in _SUCCESS and headers.get(answer, SEAL) is None:
            detail = 'the answer bears no seal'
            return _failed(effect, CallFault.malformed, detail, True)
        kept = tuple(pair for pair in answer if pair[0].lower() not in _LOCAL)
        return UpstreamAnswered(effect.call, status, kept, body)


def _from_caller(event: CallerRequest) -> CallerRequest:
    deadline = headers.get(event.headers, DEADLINE.lower())
    tag = headers.get(event.headers, REQUEST_ID) or b''
    kept = [pair for pair in event.headers if pair[0].lower() not in _OWN]
    if deadline is not None:
        kept.append((headers.DEADLINE, deadline))
    return CallerRequest(
        exchange=event.exchange,
        method=event.method,
        target=event.target,
        headers=tuple(kept),
        body=event.body,
        host=event.host,
        tag=tag.decode('latin-1'),
    )


def _to_caller(effect: Respond) -> Respond:
    """Return an answer with a status that promises what is true."""
    outcome = headers.get(effect.headers, headers.OUTCOME.lower())
    if outcome == Outcome.completed.value.encode():
        return effect
    status = effect.status
    answer = tuple(pair for pair in effect.headers if pair[0] != RETRY_AFTER)
    if outcome == Outcome.not_run.value.encode():
        if status not in _KEPT:
            status = _UNAVAILABLE
            answer = (*answer, (RETRY_AFTER, RETRY_AFTER_S))
    elif status in _PROMISES or status < _SERVER_ERRORS:
        status = _BAD_GATEWAY
    return Respond(effect.exchange, status, answer, effect.body)


def _failed(
    effect: CallUpstream, fault: CallFault, detail: str, sent: bool
) -> UpstreamFailed:
    failure = Failure(Step.answer, effect.address, detail)
    return UpstreamFailed(effect.call, fault, sent, failure)
