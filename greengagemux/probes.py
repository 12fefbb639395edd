"""Probes of upstreams in doubt, over connections of their own."""

from collections.abc import Callable
from typing import Any, Final

from twisted.internet.endpoints import TCP4ClientEndpoint
from twisted.internet.error import (
    ConnectionRefusedError as UpstreamRefusedError,
)
from twisted.python.failure import Failure as TwistedFailure
from twisted.web.client import Agent
from twisted.web.iweb import IAgentEndpointFactory, IResponse
from zope.interface import implementer

from .effects import ProbeUpstream
from .events import Event, Probed

#: A probe without an answer for this long has failed.
PROBE_TIMEOUT_S: Final = 1.0
#: Health reports lag and mislead, so only silence and refusal count.
HEALTH_PATH: Final = b'/health'

Submit = Callable[[Event], None]


@implementer(IAgentEndpointFactory)
class _Endpoints:
    """Connects to IP numbers without looking up names."""

    def __init__(self, reactor: Any) -> None:
        self._reactor = reactor

    def endpointForURI(self, uri: Any) -> TCP4ClientEndpoint:
        host = uri.host.decode()
        return TCP4ClientEndpoint(self._reactor, host, uri.port, timeout=1)


class Prober:
    """Carries out probes and reports their results as events."""

    def __init__(self, reactor: Any, submit: Submit) -> None:
        """Results are reported through ``submit``."""
        self._reactor = reactor
        self._submit = submit
        self._agent = Agent.usingEndpointFactory(reactor, _Endpoints(reactor))

    def probe(self, effect: ProbeUpstream) -> None:
        """Ask an upstream for its health on a new connection."""
        url = b'http://%b%b' % (effect.address.encode(), HEALTH_PATH)
        asked = self._agent.request(b'GET', url)
        asked.addTimeout(PROBE_TIMEOUT_S, self._reactor)
        asked.addCallbacks(
            self._answered, self._failed, (effect,), errbackArgs=(effect,)
        )

    def _answered(self, response: IResponse, effect: ProbeUpstream) -> None:
        self._submit(Probed(effect.upstream, alive=True, refused=False))

    def _failed(self, reason: TwistedFailure, effect: ProbeUpstream) -> None:
        refused = bool(reason.check(UpstreamRefusedError))
        self._submit(Probed(effect.upstream, alive=False, refused=refused))
