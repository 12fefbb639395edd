"""Translates the platform's HTTP headers and statuses.

Callers and upstreams use the platform's headers; those that the daemon uses
internally are in ``headers``.
"""

import logging
import math
from typing import Final

from .. import headers
from ..connections import ResponseOwner, UpstreamCalls
from ..effects import CallUpstream, Respond
from ..events import (
    CallerRequest,
    CallFault,
    Event,
    UpstreamAnswered,
    UpstreamFailed,
    UpstreamStated,
)
from ..ids import UpstreamId
from ..listeners import CallerListener, Exchange
from ..messages import Headers
from ..outcomes import Failure, Outcome, Reason, Step

logger = logging.getLogger(__name__)

#: Request id, set by the caller and repeated in the upstream's response.
REQUEST_ID: Final = b'request-id'
#: Remaining time of the request, in milliseconds.
DEADLINE_MS: Final = b'Deadline-Ms'
#: Instance that shall run the request; any other instance refuses it.
EXPECT_INSTANCE: Final = b'Expect-Instance'
#: Account name of the caller, set by the daemon on requests to an upstream.
CALLER_SERVICE: Final = b'Caller-Service'
#: API key of the client account, set by the caller; the header holds only
#: the key.
API_KEY: Final = b'api-key'
#: Client account of the key, set by the daemon on requests to an upstream.
TENANT_ID: Final = b'Tenant-Id'
#: Set by an upstream on each response that it computed itself.
RESPONSE_SEAL: Final = b'response-seal'
#: Present if the upstream has not run the request.
NOT_EXECUTED: Final = b'not-executed'
#: Requests per second, a decimal number, that the upstream takes from the
#: whole fleet; missing if it names no limit.
SERVER_LIMIT: Final = b'server-limit'
#: ``1`` if the upstream is leaving and takes no new requests.
SERVER_LEAVING: Final = b'server-leaving'

_MS_PER_S: Final = 1000
_MISDIRECTED: Final = 421
_BAD_GATEWAY: Final = 502
_UNAVAILABLE: Final = 503
_FIRST_SERVER_ERROR: Final = 500
_SUCCESS: Final = range(200, 300)
#: Statuses by which callers know that a request has not run and never will.
_NOT_RUN_STATUSES: Final = frozenset((408, 421, 429, _UNAVAILABLE))
#: Statuses of the daemon for faulty requests; they are returned unchanged.
_FAULTY_REQUEST_STATUSES: Final = frozenset((400, 401, 404, 413))
#: Reasons whose wait until a later request is admitted is known exactly.
_KNOWN_WAITS: Final = frozenset(
    (Reason.rate_limited.value.encode(), Reason.allotment.value.encode())
)
#: Request headers that the daemon sets itself; those of the caller are
#: not forwarded. The request id is carried in ``CallerRequest.tag``.
_DAEMON_HEADERS: Final = frozenset(
    (
        DEADLINE_MS.lower(),
        EXPECT_INSTANCE.lower(),
        CALLER_SERVICE.lower(),
        TENANT_ID.lower(),
        API_KEY,
        headers.ACCOUNT_KEY,
        REQUEST_ID,
    )
)
#: Response headers that are not forwarded. Those of the upstream's connection
#: do not apply to the caller's. Those about its instance would add to the
#: traffic between data centres, which is charged by the byte.
_NOT_FORWARDED: Final = frozenset(
    (
        b'connection',
        b'content-length',
        b'instance-id',
        b'keep-alive',
        b'server-load',
        b'transfer-encoding',
    )
)
#: Sent with status 503. Callers wait before a retry, but at most for a third
#: of their remaining time.
RETRY_AFTER: Final = b'Retry-After'
RETRY_AFTER_S: Final = b'0.2'


class PlatformListener(CallerListener):
    """Listener for callers that use the platform's headers."""

    #: Callers on this platform pipeline only idempotent requests.
    pipeline_limit = 16

    def request_of(self, exchange: Exchange) -> CallerRequest:
        """Return the event for a request, with the daemon's internal headers."""
        return _translate_request(super().request_of(exchange))

    def respond(self, effect: Respond) -> None:
        """Send a response unless the caller has disconnected."""
        super().respond(_translate_response(effect))


class PlatformCalls(UpstreamCalls):
    """Calls to the upstream on this host, with the platform's headers."""

    #: Shorter than the idle timeout of upstreams, so that a call doesn't meet
    #: a connection that the upstream is closing.
    pool_idle_limit_s = 4
    accepts_close_delimited = True

    def headers_of(self, effect: CallUpstream) -> Headers:
        """Return the request headers for the upstream."""
        translated = [
            (EXPECT_INSTANCE, effect.upstream.encode()),
            (REQUEST_ID, effect.tag.encode('latin-1')),
        ]
        names = {
            headers.DEADLINE: DEADLINE_MS,
            headers.CALLER: CALLER_SERVICE,
            headers.ACCOUNT: TENANT_ID,
            # Not sent: the platform's request id is in ``effect.tag``.
            headers.REQUEST_ID: b'',
        }
        for name, content in effect.headers:
            platform_name = names.get(name, name)
            if platform_name:
                translated.append((platform_name, content))
        return tuple(translated)

    def owner_of(
        self, effect: CallUpstream, status: int, response_headers: Headers
    ) -> ResponseOwner:
        """Return which request a response answers, by the id in it.

        A refusal without an id names no request; any other response without
        one is not that to the call.
        """
        echoed = headers.get(response_headers, REQUEST_ID)
        if (echoed or b'') == effect.tag.encode('latin-1'):
            return ResponseOwner.current
        if echoed is None and _is_refusal(status, response_headers):
            return ResponseOwner.unnamed
        return ResponseOwner.other

    def statement_of(
        self, upstream: UpstreamId, status: int, response_headers: Headers
    ) -> UpstreamStated | None:
        """Return the rate limit and the state that a response names.

        None for a response of another instance or with an invalid limit.
        """
        if status == _MISDIRECTED:
            return None
        leaving = headers.get(response_headers, SERVER_LEAVING) == b'1'
        content = headers.get(response_headers, SERVER_LIMIT)
        if content is None:
            return UpstreamStated(upstream, None, leaving)
        limit_per_s = _decode_limit_per_s(content)
        if limit_per_s is None:
            logger.warning('invalid limit of %s: %r', upstream, content)
            return UpstreamStated(upstream, None, leaving) if leaving else None
        return UpstreamStated(upstream, limit_per_s, leaving)

    def ended(
        self,
        effect: CallUpstream,
        status: int,
        response_headers: Headers,
        body: bytes,
    ) -> Event:
        """Return the event for a complete response.

        Not executed, misdirected and unsealed successful responses are
        failures of the call.
        """
        if headers.get(response_headers, NOT_EXECUTED) is not None:
            return _failed(
                effect, CallFault.shed, f'upstream shed with {status}', False
            )
        if status == _MISDIRECTED:
            detail = 'the address belongs to another instance'
            return _failed(effect, CallFault.replaced, detail, False)
        if (
            status in _SUCCESS
            and headers.get(response_headers, RESPONSE_SEAL) is None
        ):
            detail = 'successful response without a response-seal header'
            return _failed(effect, CallFault.malformed, detail, True)
        forwarded = tuple(
            pair
            for pair in response_headers
            if pair[0].lower() not in _NOT_FORWARDED
        )
        return UpstreamAnswered(effect.call, status, forwarded, body)


def _is_refusal(status: int, response_headers: Headers) -> bool:
    """Return whether a response states that its request has not run."""
    marked = headers.get(response_headers, NOT_EXECUTED) is not None
    return marked or status == _MISDIRECTED


def _translate_request(event: CallerRequest) -> CallerRequest:
    deadline = headers.get(event.headers, DEADLINE_MS.lower())
    tag = headers.get(event.headers, REQUEST_ID) or b''
    forwarded = [
        pair for pair in event.headers if pair[0].lower() not in _DAEMON_HEADERS
    ]
    if deadline is not None:
        forwarded.append((headers.DEADLINE, deadline))
    forwarded += [
        (headers.ACCOUNT_KEY, key)
        for name, key in event.headers
        if name.lower() == API_KEY
    ]
    return CallerRequest(
        exchange=event.exchange,
        method=event.method,
        target=event.target,
        headers=tuple(forwarded),
        body=event.body,
        host=event.host,
        tag=tag.decode('latin-1'),
    )


def _translate_response(effect: Respond) -> Respond:
    """Return the response with a status that agrees with its outcome.

    A request that has not run gets 503 with a ``Retry-After`` header, unless
    the caller's request was faulty. One with an unknown outcome gets a server
    error that does not state that the request has not run.
    """
    outcome = headers.get(effect.headers, headers.OUTCOME.lower())
    if outcome == Outcome.completed.value.encode():
        return effect
    status = effect.status
    response_headers = tuple(
        pair for pair in effect.headers if pair[0] != RETRY_AFTER
    )
    if outcome == Outcome.not_run.value.encode():
        if status not in _FAULTY_REQUEST_STATUSES:
            if not _is_beyond_allotment(effect):
                status = _UNAVAILABLE
            retry_after = (RETRY_AFTER, _retry_after_s(effect))
            response_headers = (*response_headers, retry_after)
    elif status in _NOT_RUN_STATUSES or status < _FIRST_SERVER_ERROR:
        status = _BAD_GATEWAY
    return Respond(effect.exchange, status, response_headers, effect.body)


def _is_beyond_allotment(effect: Respond) -> bool:
    reason = headers.get(effect.headers, headers.REASON.lower())
    return reason == Reason.allotment.value.encode()


def _retry_after_s(effect: Respond) -> bytes:
    """Return ``Retry-After`` in seconds with fractions."""
    reason = headers.get(effect.headers, headers.REASON.lower())
    if reason not in _KNOWN_WAITS:
        return RETRY_AFTER_S
    return b'%.3f' % (effect.retry_after_ms / _MS_PER_S)


def _decode_limit_per_s(content: bytes) -> float | None:
    """Return a rate in requests per second; None if it is invalid."""
    try:
        limit_per_s = float(content)
    except ValueError:
        return None
    if not math.isfinite(limit_per_s) or limit_per_s < 0:
        return None
    return limit_per_s


def _failed(
    effect: CallUpstream, fault: CallFault, detail: str, sent: bool
) -> UpstreamFailed:
    failure = Failure(Step.answer, effect.address, detail)
    return UpstreamFailed(effect.call, fault, sent, failure)
