"""Reads the settings file of the platform: lines of the form ``a.b=value``."""

import math
import os
from collections.abc import Mapping
from dataclasses import dataclass
from pathlib import Path
from types import MappingProxyType
from typing import Final

from ..addresses import Address
from ..allotments.buckets import Tolerance
from ..ids import DaemonId, DataCentre, Region, ServiceName
from ..memory.limits import DEFAULT_MEMORY_MB
from ..outcomes import Failure, FailureError, Step

#: Environment variable with the path of the settings file.
PATH_VARIABLE: Final = 'GREENGAGEMUX_BOOT'
DEFAULT_PATH: Final = '/etc/greengagemux/settings.conf'
FILE_LIMIT_BYTES: Final = 1024 * 1024
#: Start of the keys that state the region of a data centre.
ZONE_PREFIX: Final = 'zones.'
#: Environment variable with the limit of second attempts in percent of the
#: requests of a service.
HEDGE_EXTRA_VARIABLE: Final = 'GREENGAGEMUX_HEDGE_EXTRA_PCT'
HEDGE_EXTRA_PCT_MAX: Final = 100
#: Longest limit of the host; longer ones are errors.
LIMIT_DIGITS: Final = 9

#: The platform's documented values, used where ``bounds`` lacks one.
DEFAULT_BOUNDS: Final = MappingProxyType(
    {
        'grace_s': 6.0,
        'floor_share': 0.7,
        'retry_budget_ratio': 0.2,
        'budget_slack': float(0),
        'budget_window_s': 10.0,
        'quota_window_s': 5.0,
        'quota_overshoot': 0.1,
        'quota_slack': 20.0,
    }
)


@dataclass(frozen=True, slots=True)
class Bounds:
    """Limits that the platform sets for daemons."""

    #: Time between the request to stop and the kill of the process.
    grace_s: float
    #: Least share of a service's upstreams that must stay in use.
    floor_share: float
    #: Retries that an upstream service may receive per request.
    retry_share: float
    #: Retries a second that it may receive besides.
    retries_per_s: float
    #: How far client accounts may exceed their rates.
    tolerance: Tolerance = Tolerance()


@dataclass(frozen=True, slots=True)
class PlatformSettings:
    """Settings of a daemon, under the names that the daemon uses."""

    daemon: DaemonId
    data_centre: DataCentre
    region: Region
    #: Service of the upstream on this host. It is also the name under which
    #: all callers on this host are counted.
    service: ServiceName
    #: Receives the requests of callers on this host (``listen.outbound``).
    caller_address: Address
    #: Receives connections of other daemons (``listen.inbound``).
    peer_address: Address
    #: Receives readiness checks of the platform (``listen.ready``).
    ready_address: Address
    #: Receives announcements of the upstream on this host
    #: (``listen.control``).
    announce_address: Address
    #: Serves metrics, on the first port of ``port_range``.
    admin_address: Address
    #: Address of the upstream (``app_addr``); only this host can reach it.
    upstream_address: Address
    #: Address of the metadata store (``platform.address``).
    log_address: Address
    #: Peer addresses of some daemons; they may have ended since.
    seeds: tuple[Address, ...]
    bounds: Bounds
    #: Regions of the listed data centres (``zones.NAME``).
    regions: frozenset[Region] = frozenset()
    #: Second attempts of slow requests, in percent of the requests of each
    #: service (``GREENGAGEMUX_HEDGE_EXTRA_PCT``).
    hedge_extra_pct: float = 0
    #: Memory of the host (``limits.memory_mb``).
    memory_mb: int = DEFAULT_MEMORY_MB
    #: File descriptors of the host (``limits.max_fds``); None if not known.
    max_fds: int | None = None
    #: Partitions of a topic of the metadata store (``platform.parts``).
    log_parts: int = 1


def read_settings(path: Path | None = None) -> PlatformSettings:
    """Return the settings in a file.

    The default path is in ``GREENGAGEMUX_BOOT``, or else ``DEFAULT_PATH``.
    The limit of second attempts comes from the environment. Raises
    ``FailureError`` at step ``settings`` that names file and key, or the
    environment variable.
    """
    if path is None:
        path = Path(os.environ.get(PATH_VARIABLE, DEFAULT_PATH))
    try:
        text = path.read_text('utf-8')
    except (OSError, UnicodeDecodeError) as error:
        raise _failure(path, f'cannot be read: {error}') from error
    return _Reader(path, _pairs(path, text)).settings()


class _Reader:
    """Parses the values of one file; each error names the key."""

    def __init__(self, path: Path, values: Mapping[str, str]) -> None:
        self._path = path
        self._values = values

    def settings(self) -> PlatformSettings:
        peer_address = self._address('listen.inbound')
        low_port = self._text('port_range').split(',')[0]
        admin = f'{self._text("ip")}:{low_port.strip()}'
        return PlatformSettings(
            daemon=DaemonId(self._text('node_name')),
            data_centre=DataCentre(self._text('zone')),
            region=Region(self._text('region')),
            service=ServiceName(self._text('service')),
            caller_address=self._address('listen.outbound'),
            peer_address=peer_address,
            ready_address=self._address('listen.ready'),
            announce_address=self._address('listen.control'),
            admin_address=self._parse('port_range', admin),
            upstream_address=self._address('app_addr'),
            log_address=self._address('platform.address'),
            seeds=self._seeds(peer_address.port),
            bounds=self._bounds(),
            regions=self._regions(),
            hedge_extra_pct=_hedge_extra_pct(),
            memory_mb=self._limit('limits.memory_mb') or DEFAULT_MEMORY_MB,
            max_fds=self._limit('limits.max_fds'),
            log_parts=self._limit('platform.parts') or 1,
        )

    def _text(self, key: str) -> str:
        text = self._values.get(key, '').strip()
        if not text:
            raise _failure(self._path, f'{key}: missing')
        return text

    def _address(self, key: str) -> Address:
        return self._parse(key, self._text(key))

    def _parse(self, key: str, text: str) -> Address:
        try:
            return Address.parse(text)
        except ValueError as error:
            detail = f'{key} = {text!r}: allowed is {error}'
            raise _failure(self._path, detail) from error

    def _seeds(self, peer_port: int) -> tuple[Address, ...]:
        """Return the peer addresses of the seeds.

        The file lists their announcement addresses. Each kind of address has
        the same port on all hosts.
        """
        parts = self._values.get('seeds', '').split(',')
        listed = [part.strip() for part in parts if part.strip()]
        return tuple(
            Address(self._parse('seeds', part).host, peer_port)
            for part in listed
        )

    def _regions(self) -> frozenset[Region]:
        """Return the regions of the data centres that the file lists."""
        return frozenset(
            Region(self._text(key))
            for key in self._values
            if key.startswith(ZONE_PREFIX)
        )

    def _limit(self, key: str) -> int | None:
        """Return a limit of the host, None if the settings lack it."""
        text = self._values.get(key, '').strip()
        if not text:
            return None
        if not text.isdecimal() or len(text) > LIMIT_DIGITS or not int(text):
            detail = f'{key} = {text!r}: allowed is a whole number above 0'
            raise _failure(self._path, detail)
        return int(text)

    def _bounds(self) -> Bounds:
        bounds = dict(DEFAULT_BOUNDS)
        for part in self._values.get('bounds', '').split(','):
            name, _, number = part.strip().partition('=')
            if name not in bounds:
                continue
            try:
                bounds[name] = float(number)
            except ValueError as error:
                detail = f'bounds: {name} = {number!r}: allowed is a number'
                raise _failure(self._path, detail) from error
        return Bounds(
            grace_s=bounds['grace_s'],
            floor_share=bounds['floor_share'],
            retry_share=bounds['retry_budget_ratio'],
            retries_per_s=bounds['budget_slack']
            / max(bounds['budget_window_s'], 1),
            tolerance=Tolerance(
                window_s=max(0, bounds['quota_window_s']),
                overshoot=max(0, bounds['quota_overshoot']),
                slack=max(0, bounds['quota_slack']),
            ),
        )


def _hedge_extra_pct() -> float:
    text = os.environ.get(HEDGE_EXTRA_VARIABLE, '').strip() or '0'
    try:
        percent = float(text)
    except ValueError:
        percent = math.nan
    # Not a number compares as outside of the range.
    if 0 <= percent <= HEDGE_EXTRA_PCT_MAX:
        return percent
    detail = f'{text!r}: allowed is a number from 0 to {HEDGE_EXTRA_PCT_MAX}'
    raise FailureError(Failure(Step.settings, HEDGE_EXTRA_VARIABLE, detail))


def _pairs(path: Path, text: str) -> dict[str, str]:
    if len(text) > FILE_LIMIT_BYTES:
        raise _failure(path, f'larger than {FILE_LIMIT_BYTES} bytes')
    lines = (line.strip() for line in text.splitlines())
    split = (line.partition('=') for line in lines if line)
    return {key.strip(): content.strip() for key, _, content in split}


def _failure(path: Path, detail: str) -> FailureError:
    return FailureError(Failure(Step.settings, str(path), detail))
