"""Regular announcement of an upstream to the daemon beside it."""

import logging
from collections.abc import Callable
from io import BytesIO
from typing import Any, cast

import msgspec
from twisted.internet.defer import Deferred
from twisted.internet.protocol import Protocol
from twisted.internet.task import Cooperator, LoopingCall
from twisted.web.client import (
    Agent,
    FileBodyProducer,
    HTTPConnectionPool,
)
from twisted.web.http_headers import Headers

from .servers import OK, Network

#: Section 5 of the design page: renewed every second, expires after 3 s.
ANNOUNCE_PERIOD_S = 1
ANNOUNCE_TIMEOUT_S = 2

# Twisted ships these classes without annotations.
_new_pool: Any = HTTPConnectionPool
_new_agent: Any = Agent
_new_body: Any = FileBodyProducer

_logger = logging.getLogger(__name__)


class _Discard(Protocol):
    """Reads a body to its end, after which the connection is reused."""


class Announcement(msgspec.Struct):
    """Body of ``POST /announce``."""

    upstream: str
    service: str
    address: str
    slots: int
    state: str


class Announcer:
    """Posts the announcement of one upstream each second.

    A failed announcement is counted and logged once until one succeeds.
    """

    def __init__(
        self,
        network: Network,
        admin_address: str,
        announcement: Callable[[], Announcement | None],
    ) -> None:
        """Announce what ``announcement`` returns; skip ``None``."""
        self._url = f'http://{admin_address}/announce'.encode()
        self._announcement = announcement
        reactor = cast('Any', network)
        self._pool = _new_pool(reactor)
        self._agent: Any = _new_agent(
            reactor, connectTimeout=ANNOUNCE_TIMEOUT_S, pool=self._pool
        )
        self._loop = LoopingCall(self.announce)
        self._loop.clock = reactor
        self._reactor = reactor
        self._cooperator = Cooperator(
            scheduler=lambda call: reactor.callLater(0, call)
        )
        self._failing = False
        self.sent = 0
        self.failed = 0

    def start(self) -> None:
        """Announce now and each second."""
        self._loop.start(ANNOUNCE_PERIOD_S)

    def stop(self) -> Deferred[None]:
        """Announce no more."""
        if self._loop.running:
            self._loop.stop()
        return cast('Deferred[None]', self._pool.closeCachedConnections())

    def announce(self) -> None:
        """Announce once; the next one does not wait for the answer."""
        announcement = self._announcement()
        if announcement is None:
            return
        body = _new_body(
            BytesIO(msgspec.json.encode(announcement)),
            cooperator=self._cooperator,
        )
        asked: Deferred[Any] = self._agent.request(
            b'POST',
            self._url,
            Headers({b'content-type': [b'application/json']}),
            body,
        )
        asked.addTimeout(ANNOUNCE_TIMEOUT_S, self._reactor)
        asked.addCallback(self._answered)
        asked.addErrback(self._lost)

    def _answered(self, response: Any) -> None:
        if response.code >= OK + 100:
            raise ValueError(f'announce answered with {response.code}')
        self.sent += 1
        self._failing = False
        response.deliverBody(_Discard())

    def _lost(self, failure: Any) -> None:
        self.failed += 1
        if not self._failing:
            _logger.warning('announce failed: %s', failure.getErrorMessage())
        self._failing = True
