"""The operator's configuration, decoded into a bundle of the project."""

from collections.abc import Mapping
from dataclasses import replace
from typing import Final

import msgspec

from ..bundles import (
    ANONYMOUS,
    Bundle,
    Caller,
    Route,
    Service,
    Share,
)
from ..ids import BundleVersion, CallerName, RouteName, ServiceName
from ..messages import Priority
from ..outcomes import Failure, FailureError, Step
from ..routes import RouteTable
from .settings import PlatformSettings

#: Largest bodies that the daemon holds in memory, whatever is configured.
BODY_LIMIT_BYTES: Final = 4 * 1024 * 1024
#: Requests of one host in flight; the platform sets no limit of its own.
IN_FLIGHT: Final = 100_000
#: Error rate of the test for slowness: slow episodes here last a few seconds,
#: so a false alarm costs little and a late one much.
FALSE_ALARM: Final = 1e-3
#: Requests that wait at one upstream. Deadlines bound the wait before this.
QUEUE_LIMIT: Final = 64
#: A short queue nearby costs less than the bytes to another data centre.
SPILL_PCT: Final = 200
#: Gray upstreams here often hang, and one request in a hundred of a sound one
#: lasts three times as long as the mean.
HEDGE_PCT: Final = 300
#: Repeats are also made by upstreams' own calls, so a part is left unused.
RETRY_SHARE_USED: Final = 0.8
PERCENT: Final = 100
#: Ranks from 0, the most urgent; later ones count as the last.
_PRIORITIES: Final = (Priority.waiting, Priority.routine, Priority.internal)


class _Part(msgspec.Struct, frozen=True):
    service: str
    weight: float


class _Route(msgspec.Struct, frozen=True):
    name: str
    #: Whether a request may run more than once: ``idempotent`` or not.
    kind: str
    path_prefix: str
    hostname: str = ''
    service: str = ''
    weighted_backends: tuple[_Part, ...] = ()
    #: The longest time that a caller is kept waiting.
    timeout_ms: int = 2000
    #: Time within which an answer has its full value; 0 for none.
    target_latency_ms: int = 0
    #: Number of upstreams that may run one request, not of calls made.
    max_attempts: int = 1
    #: Rank, 0 is the most urgent.
    priority: int = 1


class _Service(msgspec.Struct, frozen=True):
    name: str
    health_path: str = '/healthz'


class _Limits(msgspec.Struct, frozen=True):
    max_body_bytes: int = BODY_LIMIT_BYTES


class _Configuration(msgspec.Struct, frozen=True):
    version: str
    routes: tuple[_Route, ...]
    services: tuple[_Service, ...]
    limits: _Limits = _Limits()


_decoder: Final = msgspec.json.Decoder(_Configuration)


class Opener:
    """Opens configurations for one daemon."""

    def __init__(self, settings: PlatformSettings) -> None:
        """Use the account and the bounds of these settings."""
        self._account = CallerName(settings.service)
        self._bounds = settings.bounds

    def __call__(self, payload: bytes) -> Bundle:
        """Return the bundle in a record.

        Raises ``FailureError`` at step ``bundle`` for a malformed one.
        """
        try:
            found, version = _decode(payload)
        except (msgspec.MsgspecError, ValueError) as error:
            failure = Failure(Step.bundle, 'operator', str(error))
            raise FailureError(failure) from error
        return self._bundle(found, version)

    def _bundle(self, found: _Configuration, version: BundleVersion) -> Bundle:
        limit_bytes = min(found.limits.max_body_bytes, BODY_LIMIT_BYTES)
        routes = {
            RouteName(each.name): _route(each, limit_bytes)
            for each in found.routes
        }
        bundle = Bundle(
            version=version,
            follows=BundleVersion(0),
            retries_pct=round(
                PERCENT * RETRY_SHARE_USED * self._bounds.retry_share
            ),
            services=self._services(found),
            routes=routes,
            callers={ANONYMOUS: self._caller(routes)},
        )
        return replace(bundle, table=RouteTable(bundle))

    def _services(self, found: _Configuration) -> Mapping[ServiceName, Service]:
        floor_pct = round(PERCENT * self._bounds.floor_share)
        return {
            ServiceName(each.name): Service(
                name=ServiceName(each.name),
                floor_pct=floor_pct,
                false_alarm=FALSE_ALARM,
                queue_limit=QUEUE_LIMIT,
                health_path=each.health_path,
                trials_count=True,
                spill_pct=SPILL_PCT,
                movable=False,
                # A request at which its upstream works is never broken off.
                preempts=False,
                hedge_pct=HEDGE_PCT,
            )
            for each in found.services
        }

    def _caller(self, routes: Mapping[RouteName, Route]) -> Caller:
        return Caller(
            name=self._account,
            priority=Priority.waiting,
            max_in_flight=IN_FLIGHT,
            routes=frozenset(routes),
        )


def _decode(payload: bytes) -> tuple[_Configuration, BundleVersion]:
    """Return a configuration and its version, which reads ``r12``."""
    found = _decoder.decode(payload)
    return found, BundleVersion(int(found.version.removeprefix('r')))


def _route(each: _Route, limit_bytes: int) -> Route:
    split = tuple(
        Share(ServiceName(part.service), part.weight)
        for part in each.weighted_backends
    )
    service = split[0].service if split else each.service
    rank = min(max(each.priority, 0), len(_PRIORITIES) - 1)
    return Route(
        name=RouteName(each.name),
        service=ServiceName(service),
        prefix=each.path_prefix,
        methods=frozenset(),
        idempotent=each.kind == 'idempotent',
        priority=_PRIORITIES[rank],
        deadline_ms=each.timeout_ms,
        body_limit_bytes=limit_bytes,
        attempt_limit=max(1, each.max_attempts),
        host=each.hostname,
        split=split,
        target_ms=each.target_latency_ms,
    )
