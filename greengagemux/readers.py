"""Daemons of a data centre that read the log for the others.

It answers fleets of hundreds of daemons: the number of calls to the log then
follows the number of data centres instead of that of daemons.
"""

from collections.abc import Iterable, Mapping
from typing import Final

import xxhash

from .ids import DaemonId
from .messages import MemberRecord

#: More than one reader in a data centre is harmless.
READERS_PER_DATA_CENTRE: Final = 3


def reader_order(daemons: Iterable[DaemonId]) -> list[DaemonId]:
    """Return daemons in rendezvous order; the first ones read the log."""
    return sorted(daemons, key=score, reverse=True)


def rank_among(own: MemberRecord, live: Iterable[DaemonId]) -> int:
    """Return the rank of a daemon in the rendezvous order, 0 for the first."""
    mine = score(own.daemon)
    others = (daemon for daemon in live if daemon != own.daemon)
    return sum(score(other) > mine for other in others)


def reader_rank(
    own: MemberRecord, live: Mapping[DaemonId, MemberRecord]
) -> int:
    """Return the rank of a daemon among those of its data centre."""
    nearby = (
        daemon
        for daemon, record in live.items()
        if record.data_centre == own.data_centre
    )
    return rank_among(own, nearby)


def score(daemon: DaemonId, subject: str = '') -> int:
    """Return the place of a daemon in the rendezvous order of a subject.

    Each subject has an order of its own; the first has the highest score.
    """
    return xxhash.xxh3_64_intdigest(f'{subject}{daemon}'.encode())
