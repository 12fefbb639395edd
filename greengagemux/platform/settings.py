"""Settings file of the platform: lines of the form ``a.b=value``."""

import os
from collections.abc import Mapping
from dataclasses import dataclass
from pathlib import Path
from types import MappingProxyType
from typing import Final

from ..addresses import Address
from ..ids import DaemonId, DataCentre, Region, ServiceName
from ..outcomes import Failure, FailureError, Step

#: Variable with the path of the settings file.
PATH_VARIABLE: Final = 'GREENGAGEMUX_BOOT'
DEFAULT_PATH: Final = '/etc/greengagemux/settings.conf'
FILE_LIMIT_BYTES: Final = 1024 * 1024

#: Used where ``bounds`` leaves a figure out; each is the one of the pages.
DEFAULT_BOUNDS: Final = MappingProxyType(
    {'grace_s': 6.0, 'floor_share': 0.7, 'retry_budget_ratio': 0.2}
)


@dataclass(frozen=True, slots=True)
class Bounds:
    """Figures of the platform's contract that the daemon works by."""

    #: Time between the request to stop and the end of the process.
    stop_limit_s: float
    #: Least share of a service's upstreams that must stay in use.
    floor_share: float
    #: Repeats that an upstream service may get for each request.
    retry_share: float


@dataclass(frozen=True, slots=True)
class PlatformSettings:
    """What the platform tells a daemon, in the words of the project."""

    daemon: DaemonId
    data_centre: DataCentre
    region: Region
    #: Service of the upstream beside this daemon, which is also the account
    #: of all callers here.
    service: ServiceName
    #: Where callers on this host send their requests (``listen.outbound``).
    caller_address: Address
    #: Where other daemons connect (``listen.inbound``).
    peer_address: Address
    #: Where the platform asks whether callers may come.
    ready_address: Address
    #: Where the upstream beside this daemon announces itself.
    announce_address: Address
    admin_address: Address
    #: Address of the upstream; only this host can reach it.
    upstream_address: Address
    log_address: Address
    #: Peer addresses of daemons that may still run.
    seeds: tuple[Address, ...]
    bounds: Bounds


def read_settings(path: Path | None = None) -> PlatformSettings:
    """Return the settings in a file, by default the one of the environment.

    Raises ``FailureError`` at step ``settings`` that names file and key.
    """
    if path is None:
        path = Path(os.environ.get(PATH_VARIABLE, DEFAULT_PATH))
    try:
        text = path.read_text('utf-8')
    except (OSError, UnicodeDecodeError) as error:
        raise _failure(path, f'cannot be read: {error}') from error
    return _Reader(path, _pairs(path, text)).settings()


class _Reader:
    """Values of one file; each error names the key."""

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
        )

    def _text(self, key: str) -> str:
        found = self._values.get(key, '').strip()
        if not found:
            raise _failure(self._path, f'{key}: missing')
        return found

    def _address(self, key: str) -> Address:
        return self._parse(key, self._text(key))

    def _parse(self, key: str, text: str) -> Address:
        try:
            return Address.parse(text)
        except ValueError as error:
            detail = f'{key} = {text!r}: allowed is {error}'
            raise _failure(self._path, detail) from error

    def _seeds(self, peer_port: int) -> tuple[Address, ...]:
        """Return peer addresses; the file lists announce addresses.

        Ports are the same on all hosts.
        """
        parts = self._values.get('seeds', '').split(',')
        listed = [part.strip() for part in parts if part.strip()]
        return tuple(
            Address(self._parse('seeds', part).host, peer_port)
            for part in listed
        )

    def _bounds(self) -> Bounds:
        found = dict(DEFAULT_BOUNDS)
        for part in self._values.get('bounds', '').split(','):
            name, _, figure = part.strip().partition('=')
            if name not in found:
                continue
            try:
                found[name] = float(figure)
            except ValueError as error:
                detail = f'bounds: {name} = {figure!r}: allowed is a number'
                raise _failure(self._path, detail) from error
        return Bounds(
            stop_limit_s=found['grace_s'],
            floor_share=found['floor_share'],
            retry_share=found['retry_budget_ratio'],
        )


def _pairs(path: Path, text: str) -> dict[str, str]:
    if len(text) > FILE_LIMIT_BYTES:
        raise _failure(path, f'larger than {FILE_LIMIT_BYTES} bytes')
    lines = (line.strip() for line in text.splitlines())
    split = (line.partition('=') for line in lines if line)
    return {key.strip(): content.strip() for key, _, content in split}


def _failure(path: Path, detail: str) -> FailureError:
    return FailureError(Failure(Step.settings, str(path), detail))
