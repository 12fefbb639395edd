"""Addresses, and the form of names of daemons and services."""

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
    """IP number and TCP port; with port 0 the kernel chooses one."""

    host: str
    port: int

    @classmethod
    def parse(cls, text: str) -> 'Address':
        """Return the address written as ``host:port`` or ``[host]:port``.

        Raises ``ValueError`` when the host is not an IP number or the
        port is not from 1 to 65535.
        """
        host, colon, port = text.strip().rpartition(':')
        bracketed = host.startswith('[') and host.endswith(']')
        number = _parse_ip(host[1:-1] if bracketed else host)
        if not colon or bracketed != (number.version == 6):
            raise ValueError(ADDRESS_RULE)
        return cls(str(number), parse_integer(port, 1, PORT_LIMIT))

    def __str__(self) -> str:
        """Return the text that ``parse`` reads."""
        if ':' in self.host:
            return f'[{self.host}]:{self.port}'
        return f'{self.host}:{self.port}'


def _parse_ip(text: str) -> IPv4Address | IPv6Address:
    if '%' in text:
        raise ValueError(ADDRESS_RULE)
    return ip_address(text)


def parse_integer(text: str, low: int, high: int) -> int:
    """Return the number that a text of decimal digits stands for.

    Raises ``ValueError`` for other texts and outside ``low`` to ``high``.
    """
    if not _NUMBER.fullmatch(text) or not low <= int(text) <= high:
        raise ValueError(f'a whole number from {low} to {high}')
    return int(text)
