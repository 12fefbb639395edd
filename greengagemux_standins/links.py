"""Runs a daemon whose connections to some addresses go through relays.

Daemons connect to the addresses that their peers announce, so settings cannot
direct them to a relay. This command runs the unchanged daemon on a reactor
that connects to the relay instead.
"""

from collections.abc import Callable, Mapping
from functools import partial
from pathlib import Path
from typing import Any

import click

from greengagemux import daemons
from greengagemux.settings import read_settings

_Address = tuple[str, int]


def parse_links(texts: tuple[str, ...]) -> dict[_Address, _Address]:
    """Return the relay of each address, parsed from ``ADDRESS=RELAY`` texts.

    Both are ``host:port``; raises ``ValueError`` for any other text.
    """
    links: dict[_Address, _Address] = {}
    for text in texts:
        target, equals, relay = text.partition('=')
        if not equals:
            raise ValueError(f'{text!r}: expected HOST:PORT=HOST:PORT')
        links[_address(target)] = _address(relay)
    return links


def link(reactor: Any, links: Mapping[_Address, _Address]) -> None:
    """Make ``reactor`` connect to the relay of each address in ``links``."""
    reactor.connectTCP = partial(_connect, reactor.connectTCP, links)


def _connect(
    connect: Callable[..., Any],
    links: Mapping[_Address, _Address],
    host: str,
    port: int,
    *positional: Any,
    **keywords: Any,
) -> Any:
    return connect(
        *links.get((host, port), (host, port)), *positional, **keywords
    )


def _address(text: str) -> _Address:
    host, _, port = text.rpartition(':')
    return host, int(port)


@click.command(
    params=[
        click.Option(
            ['--settings', 'path'],
            type=click.Path(exists=True, dir_okay=False, path_type=Path),
            required=True,
            help='INI file of the daemon.',
        ),
        click.Option(
            ['--link', 'texts'],
            multiple=True,
            metavar='ADDRESS=RELAY',
            help='Connect to RELAY instead of ADDRESS; may be repeated.',
        ),
    ],
)
def linked_daemon(path: Path, texts: tuple[str, ...]) -> None:
    """Run a daemon that reaches some peers through relays."""
    from twisted.internet import reactor  # noqa: PLC0415, WPS433

    link(reactor, parse_links(texts))
    daemons.run(read_settings(path))
