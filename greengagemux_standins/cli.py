"""Command line of the stand-ins for upstreams, log store and links."""

import logging
import os
from collections.abc import Callable
from typing import Any, cast

import click
from twisted.internet import reactor
from twisted.internet.defer import Deferred

from greengagemux.loads import load as load_command

from .capacities import capacity
from .cutters import LinkOrder, Relay
from .demos import demo
from .latencies import latency
from .links import linked_daemon
from .logstores import LogSettings, LogStore
from .servers import Network
from .slots import MS_PER_SECOND, Capacity
from .soaks import soak
from .stopsoaks import stop_soak
from .upstreams import Upstream, UpstreamSettings

CRASH_STATUS = 70

_reactor: Any = reactor


@click.group()
def main() -> None:
    """Run stand-ins of the platform on loopback."""
    logging.basicConfig(level=logging.INFO, format='%(asctime)s %(message)s')


main.add_command(capacity)
main.add_command(demo)
main.add_command(latency)
main.add_command(linked_daemon)
main.add_command(load_command)
main.add_command(soak)
main.add_command(stop_soak)


def _parse_prefix_factors(
    _context: click.Context, _option: click.Parameter, texts: tuple[str, ...]
) -> tuple[tuple[str, float], ...]:
    parts = [text.rpartition('=') for text in texts]
    try:
        return tuple((prefix, float(factor)) for prefix, _, factor in parts)
    except ValueError as error:
        raise click.BadParameter('expected PREFIX=FACTOR') from error


@main.command(
    params=[
        click.Option(['--name'], required=True, help='Id of the upstream.'),
        click.Option(['--service'], required=True, help='Name of its service.'),
        click.Option(['--admin'], default='', help='HOST:PORT to announce to.'),
        click.Option(
            ['--port'], default=0, help='Port to listen on; 0 for any.'
        ),
        click.Option(['--slots'], default=4, show_default=True),
        click.Option(['--median-ms'], default=float(20), show_default=True),
        click.Option(['--sigma'], default=0.3, show_default=True),
        click.Option(['--queue-limit'], default=64, show_default=True),
        click.Option(['--cold-ms'], default=float(0), show_default=True),
        click.Option(['--cold-factor'], default=float(4), show_default=True),
        click.Option(['--seed'], default=0, show_default=True),
        click.Option(['--answer-bytes'], default=256, show_default=True),
        click.Option(
            ['--ledger-file'],
            default='',
            help='File that executions are appended to.',
        ),
        click.Option(
            ['--slow-prefix'],
            multiple=True,
            callback=_parse_prefix_factors,
            metavar='PREFIX=FACTOR',
            help='Targets with a longer service time; may be repeated.',
        ),
        click.Option(
            ['--restart-ms'],
            default=0,
            help='Listen again this long after a crash; 0 ends the process.',
        ),
    ],
)
def upstream(restart_ms: int, **options: Any) -> None:
    """Run an upstream; SIGTERM stops it after a drain."""
    stand_in = Upstream(
        _upstream_settings(options),
        cast('Network', _reactor),
        on_crash=lambda: _crash(stand_in, restart_ms),
    )
    _run(stand_in, stand_in.drain)


@main.command(
    params=[
        click.Option(
            ['--port'], default=0, help='Port to listen on; 0 for any.'
        ),
        click.Option(['--retain-records'], default=10_000, show_default=True),
        click.Option(['--retain-ms'], default=float(0), help='0 for no limit.'),
        click.Option(
            ['--appends-per-second'], default=0, help='0 for no limit.'
        ),
        click.Option(['--seed'], default=0, show_default=True),
        click.Option(
            ['--records-file'],
            default='',
            help='File that keeps the records; without one, memory only.',
        ),
    ],
)
def log(**options: Any) -> None:
    """Run the append-only log."""
    _run(LogStore(LogSettings(**options), cast('Network', _reactor)))


@main.command(
    params=[
        click.Option(
            ['--target'], required=True, help='HOST:PORT to relay to.'
        ),
        click.Option(
            ['--port'], default=0, help='Port to listen on; 0 for any.'
        ),
        click.Option(
            ['--control-port'], default=0, help='Port for POST /_fault.'
        ),
        click.Option(
            ['--forward-ms'], default=float(0), help='One-way latency.'
        ),
        click.Option(
            ['--backward-ms'], default=float(0), help='One-way latency.'
        ),
    ],
)
def cutter(
    target: str,
    port: int,
    control_port: int,
    forward_ms: float,
    backward_ms: float,
) -> None:
    """Run a TCP relay that imitates faults of a link."""
    relay = Relay(target, cast('Network', _reactor), port, control_port)
    relay.order(LinkOrder(forward_ms=forward_ms, backward_ms=backward_ms))
    _run(relay)


def _upstream_settings(options: dict[str, Any]) -> UpstreamSettings:
    return UpstreamSettings(
        upstream=options['name'],
        service=options['service'],
        admin_address=options['admin'],
        port=options['port'],
        answer_bytes=options['answer_bytes'],
        ledger_file=options['ledger_file'],
        slow_prefixes=options['slow_prefix'],
        capacity=Capacity(
            slots=options['slots'],
            median_ms=options['median_ms'],
            sigma=options['sigma'],
            queue_limit=options['queue_limit'],
            cold_ms=options['cold_ms'],
            cold_factor=options['cold_factor'],
            seed=options['seed'],
        ),
    )


def _crash(stand_in: Upstream, restart_ms: int) -> None:
    if not restart_ms:
        # The process must end without running exit handlers; the kernel then
        # resets its connections.
        os._exit(CRASH_STATUS)  # noqa: WPS437
    stand_in.crash()
    _reactor.callLater(restart_ms / MS_PER_SECOND, stand_in.start)


def _run(
    stand_in: Upstream | LogStore | Relay,
    before_stop: Callable[[], Deferred[None]] | None = None,
) -> None:
    stand_in.start()
    click.echo(f'listening on {stand_in.address}')
    if isinstance(stand_in, Relay):
        click.echo(f'control on {stand_in.control_address}')
    if before_stop is not None:
        _reactor.addSystemEventTrigger('before', 'shutdown', before_stop)
    _reactor.addSystemEventTrigger('during', 'shutdown', stand_in.stop)
    _reactor.run()
