"""What a daemon process has used, from the kernel and its metrics."""

import json
import os
from collections.abc import Iterator
from dataclasses import dataclass
from pathlib import Path

from .fleets import Daemon, Fleet, fetch

MIB = 1024 * 1024
PERCENT = 100
_NS_PER_SECOND = 1_000_000_000
_TICKS_S = os.sysconf('SC_CLK_TCK')
_STREAM_COUNTERS = ('stream_sent_bytes_total', 'stream_received_bytes_total')


@dataclass(frozen=True, slots=True)
class Use:
    """What one process used up to now."""

    processor_s: float
    resident_bytes: int
    control_bytes: float
    streams: int


def use_of(fleet: Fleet, daemon: Daemon) -> Use:
    """Return the use of a daemon that runs."""
    process = Path('/proc') / str(fleet.processes.ids()[daemon.name])
    # The name in brackets may hold spaces, so fields count from its end.
    columns = (process / 'stat').read_text().rpartition(')')[2].split()
    pages = int((process / 'statm').read_text().split()[1])
    metrics = fetch(f'http://{daemon.admin_address}/metrics').decode()
    state = json.loads(fetch(f'http://{daemon.admin_address}/state'))
    return Use(
        (int(columns[11]) + int(columns[12])) / _TICKS_S,
        pages * os.sysconf('SC_PAGE_SIZE'),
        sum(_counters(metrics)),
        sum(path['state'] == 'open' for path in state['paths']),
    )


def processor_wait_s(process: int) -> float:
    """Return how long the main thread waited for a processor.

    A process that has ended has no known wait; 0 is returned.
    """
    try:
        columns = (Path('/proc') / str(process) / 'schedstat').read_text()
    except OSError:
        return 0
    return int(columns.split()[1]) / _NS_PER_SECOND


def _counters(metrics: str) -> Iterator[float]:
    for line in metrics.splitlines():
        if line.startswith(_STREAM_COUNTERS):
            yield float(line.rpartition(' ')[2])
