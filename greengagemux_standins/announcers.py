"""Periodic announcement of an upstream to the daemon on its host."""

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

#: A daemon discards an upstream whose announcement is older than 3 s; see
#: section 5 of the design page.
ANNOUNCE_PERIOD_S = 1
ANNOUNCE_TIMEOUT_S = 2

# Twisted ships these classes without annotations.
_new_pool: Any = HTTPConnectionPool
_new_agent: Any = Agent
_new_body: Any = FileBodyProducer

_logger = logging.getLogger(__name__)


class _Discard(Protocol):
    """Discards a response body, so that the connection can be reused."""


class Announcement(msgspec.Struct):
    """Body of ``POST /announce``."""

    upstream: str
    service: str
    address: str
    slots: int
    state: str


class Announcer:
    """Posts the announcement of one upstream each second.

    ``sent`` and ``failed`` count announcements. A failure is logged unless
    the previous announcement failed too.
    """

    def __init__(
        self,
        network: Network,
        admin_address: str,
        announcement: Callable[[], Announcement | None],
    ) -> None:
        """Announce what ``announcement`` returns, unless it is ``None``."""
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
        self._last_failed = False
        self.sent = 0
        self.failed = 0

    def start(self) -> None:
        """Announce now and each second."""
        self._loop.start(ANNOUNCE_PERIOD_S)

    def stop(self) -> Deferred[None]:
        """Stop announcing and close the connections."""
        if self._loop.running:
            self._loop.stop()
        return cast('Deferred[None]', self._pool.closeCachedConnections())

    def announce(self) -> None:
        """Post one announcement without waiting for the response."""
        announcement = self._announcement()
        if announcement is None:
            return
        body = _new_body(
            BytesIO(msgspec.json.encode(announcement)),
            cooperator=self._cooperator,
        )
        response_deferred: Deferred[Any] = self._agent.request(
            b'POST',
            self._url,
            Headers({b'content-type': [b'application/json']}),
            body,
        )
        response_deferred.addTimeout(ANNOUNCE_TIMEOUT_S, self._reactor)
        response_deferred.addCallback(self._on_response)
        response_deferred.addErrback(self._on_failure)

    def _on_response(self, response: Any) -> None:
        if response.code >= OK + 100:
            raise ValueError(
                f'the daemon responded with status {response.code}'
            )
        self.sent += 1
        self._last_failed = False
        response.deliverBody(_Discard())

    def _on_failure(self, failure: Any) -> None:
        self.failed += 1
        if not self._last_failed:
            _logger.warning(
                'announcement of the upstream failed: %s',
                failure.getErrorMessage(),
            )
        self._last_failed = True
