"""Addresses, and the names of daemons and services."""

import re
from dataclasses import dataclass
from ipaddress import IPv4Address, IPv6Address, ip_address
from typing import Final

PORT_LIMIT: Final = 65_535
NAME_RULE: Final = (
    '1 to 64 letters, digits, ".", "_" and "-", first a letter or digit'
)
#: Names of daemons, data centres, regions, services and upstreams.
NAME_PATTERN: Final = r'^[A-Za-z0-9][A-Za-z0-9._-]{0,63}$'
ADDRESS_RULE: Final = (
    'an IP number and a port from 1 to 65535, as 127.0.0.1:80 or [::1]:80'
)

_NUMBER = re.compile('[0-9]{1,12}')


@dataclass(frozen=True, slots=True, order=True)
class Address:
    """IP number and TCP port; port 0 lets the system choose one."""

    host: str
    port: int

    @classmethod
    def parse(cls, text: str) -> 'Address':
        """Return the address written as ``host:port`` or ``[host]:port``.

        Raises ``ValueError`` when the host is no IP number or the port is
        not from 1 to 65535.
        """
        host, colon, port = text.strip().rpartition(':')
        bracketed = host.startswith('[') and host.endswith(']')
        number = _ip(host[1:-1] if bracketed else host)
        if not colon or bracketed != (number.version == 6):
            raise ValueError(ADDRESS_RULE)
        return cls(str(number), whole(port, 1, PORT_LIMIT))

    def __str__(self) -> str:
        """Return the form that ``parse`` reads."""
        if ':' in self.host:
            return f'[{self.host}]:{self.port}'
        return f'{self.host}:{self.port}'


def _ip(text: str) -> IPv4Address | IPv6Address:
    if '%' in text:
        raise ValueError(ADDRESS_RULE)
    return ip_address(text)


def whole(text: str, low: int, high: int) -> int:
    """Return a whole number; raises ``ValueError`` outside its bounds."""
    if not _NUMBER.fullmatch(text) or not low <= int(text) <= high:
        raise ValueError(f'a whole number from {low} to {high}')
    return int(text)
