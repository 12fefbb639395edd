"""Stand-in of an application server on the platform of the users."""

import json
from collections.abc import Callable
from dataclasses import dataclass
from enum import Enum
from typing import Any, Final
from weakref import WeakKeyDictionary

from twisted.internet.defer import Deferred
from twisted.internet.task import LoopingCall

from greengagemux.loadclients import Exchange, Pool

from . import servers

#: Interval of announcements (``heartbeat_ms`` of the platform).
ANNOUNCE_INTERVAL_S: Final = 1.5
SLOTS: Final = 3
#: Size of large responses; seven of them exceed what the kernel holds for one
#: connection.
LARGE_BYTES: Final = 540_000
#: Time from the start of a crashing request to the end of the process.
CRASH_DELAY_S: Final = 0.05
#: Time until a crashed process runs again, under another id.
RESTART_DELAY_S: Final = 1.0

_SEAL: Final = b'seal'
_HEALTH_TARGET: Final = b'/healthz'
_MS_PER_SECOND: Final = 1000
_END_OF_HEAD: Final = b'\r\n\r\n'


@dataclass(eq=False, slots=True)
class Run:
    """One execution; times are those of the reactor.

    ``finished_s`` is set once the response was written to an open connection,
    ``broken_off`` if the upstream reset the connection instead.
    """

    request: str
    upstream: str
    method: str
    begun_s: float
    finished_s: float | None = None
    broken_off: bool = False


class Flaw(Enum):
    """What is wrong with the response to a request."""

    none = 'none'
    #: An earlier response of the connection comes once more before it.
    repeats_response = 'repeats-response'
    #: The same with an earlier refusal.
    repeats_refusal = 'repeats-refusal'
    #: The connection closes within its head.
    cuts_head = 'cuts-head'


@dataclass(frozen=True, slots=True)
class Work:
    """What a request costs: its service time, and how it is answered.

    With ``breaks_off`` the connection is reset instead of a response, and with
    ``refuses`` the request is refused without a run.
    """

    service_s: float = 0
    breaks_off: bool = False
    refuses: bool = False
    flaw: Flaw = Flaw.none


Draw = Callable[[], Work]
_Received = tuple[str, dict[str, str]]


class PlatformUpstream:
    """Answers each request with its path; refuses paths with ``full``.

    After a path with ``large`` the body is padded to ``LARGE_BYTES``.
    """

    def __init__(
        self,
        network: Any,
        upstream: str,
        draw: Draw = Work,
    ) -> None:
        """Take the cost of each request from ``draw``."""
        self.upstream = upstream
        #: Request line and headers of each request.
        self.received: list[_Received] = []
        self.runs: list[Run] = []
        #: Requests per second that it takes from all daemons, as each response
        #: states; None without a limit.
        self.rate_limit_per_s: float | None = None
        #: Whether each response states that it is leaving.
        self.leaving = False
        #: A request whose target contains this ends the process.
        self.crash_word = ''
        #: Time from the start of such a request to the end of the process,
        #: which comes even if the connection has closed.
        self.crash_delay_s = CRASH_DELAY_S
        #: Targets of the requests that have ended it.
        self.crashed_by: list[str] = []
        self._network = network
        #: Returns the cost of the next request.
        self.draw = draw
        self._server = servers.HttpServer(network, self._respond)
        self._sequence = 0
        self._boot = 1
        self._announcing: LoopingCall | None = None
        #: Responses that may come once more on their connection, by flaw.
        self._earlier: dict[Flaw, WeakKeyDictionary[Any, bytes]] = {
            flaw: WeakKeyDictionary() for flaw in Flaw
        }

    @property
    def address(self) -> str:
        """Address as ``host:port``; the port is known after the start."""
        return self._server.address

    def start(self) -> None:
        """Listen; raises ``CannotListenError``."""
        self._server.start()

    def announce_to(self, address: str) -> None:
        """Announce to a daemon until the stop."""
        pool = Pool(address, self._network)
        self._announcing = LoopingCall(self._announce, pool)
        self._announcing.start(ANNOUNCE_INTERVAL_S)

    def stop(self) -> Deferred[None]:
        """Close the listener and reset all connections."""
        if self._announcing is not None:
            self._announcing.stop()
        return self._server.stop()

    def crash(self, target: str) -> None:
        """End the process and start it again after a delay.

        The kernel closes the connections of a process that has ended; they are
        not reset unless they hold unread input.
        """
        if not self._server.listening:
            return
        self.crashed_by.append(target)
        self._server.end()
        self._network.callLater(RESTART_DELAY_S, self._start_again)

    def restart(self) -> None:
        """Begin a new boot under the same id."""
        self._boot += 1
        self._sequence = 0
        self.leaving = False

    def announcement(self, phase: str = 'ready') -> bytes:
        """Return the next announcement as an encoded request."""
        self._sequence += 1
        body = json.dumps(
            {
                'service': 'orders',
                'address': 'own',
                'slots': SLOTS,
                'phase': phase,
                'sequence': self._sequence,
                'born': self._boot,
            }
        )
        return (
            f'PUT /api/instances/{self.upstream} HTTP/1.1\r\nHost: x\r\n'
            f'Content-Length: {len(body)}\r\n\r\n{body}'
        ).encode()

    def _start_again(self) -> None:
        if self._announcing is None or not self._announcing.running:
            return
        self._boot += 1
        self._sequence = 0
        self.upstream = f'{self.upstream.partition(".")[0]}.{self._boot}'
        self._server.start()

    def _announce(self, pool: Pool) -> None:
        if not self._server.listening:
            return
        pool.ask(Exchange(self.announcement(), False, _ignore))

    def _state(self, request: servers.Request) -> None:
        headers = request.responseHeaders
        if self.rate_limit_per_s is not None:
            limit = b'%.1f' % self.rate_limit_per_s
            headers.setRawHeaders(b'Server-Limit', [limit])
        if self.leaving:
            headers.setRawHeaders(b'Server-Leaving', [b'1'])

    def _respond(self, request: servers.Request) -> None:
        if request.uri == _HEALTH_TARGET:
            self._state(request)
            request.responseHeaders.setRawHeaders(
                b'Instance-Id', [self.upstream.encode()]
            )
            servers.reply(request, servers.OK, b'')
            return
        raw = request.requestHeaders.getAllRawHeaders()
        headers = {
            name.decode().lower(): found[0].decode() for name, found in raw
        }
        method, target = request.method.decode(), request.uri.decode()
        self.received.append((f'{method} {target} HTTP/1.1', headers))
        request.responseHeaders.setRawHeaders(
            b'Request-Id', [headers['request-id'].encode()]
        )
        work = self.draw()
        if 'full' in target or work.refuses:
            self._state(request)
            request.responseHeaders.setRawHeaders(b'Not-Executed', [b'1'])
            refusal = _encoded(
                f'503 Unavailable\r\nNot-Executed: 1\r\n'
                f'Request-Id: {headers["request-id"]}',
                b'',
            )
            self._earlier[Flaw.repeats_refusal][request.channel] = refusal
            servers.reply(request, servers.UNAVAILABLE, b'')
            return
        run = Run(
            headers['request-id'],
            self.upstream,
            method,
            self._network.seconds(),
        )
        self.runs.append(run)
        if self.crash_word and self.crash_word in target:
            self._network.callLater(self.crash_delay_s, self.crash, target)
            return
        limit_s = int(headers['deadline-ms']) / _MS_PER_SECOND
        call = self._network.callLater(
            min(work.service_s, limit_s),
            self._end,
            request,
            run,
            work,
            work.service_s > limit_s,
        )
        ended: Deferred[Any] = request.notifyFinish()
        ended.addErrback(lambda _: call.active() and call.cancel())

    def _end(
        self,
        request: servers.Request,
        run: Run,
        work: Work,
        expired: bool,
    ) -> None:
        request.responseHeaders.setRawHeaders(b'Response-Seal', [_SEAL])
        self._state(request)
        if expired:
            servers.reply(request, servers.GATEWAY_TIMEOUT, b'')
            return
        channel: Any = request.channel
        if work.breaks_off:
            run.broken_off = True
            servers.abort(channel)
            return
        body = response_body(request.uri.decode())
        response = _encoded(
            f'200 OK\r\nRequest-Id: {run.request}\r\n'
            f'Response-Seal: {_SEAL.decode()}',
            body,
        )
        if work.flaw is Flaw.cuts_head:
            run.broken_off = True
            # Any place within the head, by the time of the run.
            place = int(run.begun_s * _MS_PER_SECOND)
            place %= response.index(_END_OF_HEAD)
            channel.transport.write(response[:place])
            channel.transport.loseConnection()
            return
        earlier = self._earlier[work.flaw].get(channel)
        if earlier is not None:
            channel.transport.write(earlier)
        self._earlier[Flaw.repeats_response][channel] = response
        servers.reply(request, servers.OK, body)
        run.finished_s = self._network.seconds()


def response_body(target: str) -> bytes:
    """Return the body of the response to a request for a path."""
    size_bytes = LARGE_BYTES if 'large' in target else 0
    return target.encode().ljust(size_bytes, b'.')


def _encoded(head: str, body: bytes) -> bytes:
    return (
        f'HTTP/1.1 {head}\r\nContent-Length: {len(body)}\r\n\r\n'.encode()
        + body
    )


def _ignore(_answer: object) -> None:
    """Announcements are repeated, so their answers do not matter."""
