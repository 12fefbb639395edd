"""Measures the crashes by one crashing request and the delay of other requests.

One caller repeatedly sends a crashing request to random upstreams, each with
unrelated requests in flight. Callers whose unrelated requests were interrupted
send them again. A crash report goes directly to the daemons that have upstreams
of the service; those that miss it receive it later by gossip. A retry by the
ingress carries the suspects that were reported to it.
"""

import heapq
import itertools
import random
from collections import Counter
from collections.abc import Callable
from dataclasses import dataclass, field
from datetime import timedelta
from functools import partial

import click

from .clocks import ZERO, ms
from .poisonrequests import PoisonRequests, PoisonStatus
from .messages import Suspects

UPSTREAMS = 23
SERVICE_TIME = ms(25)
#: Delay of a crash report that is received directly.
DIRECT_MIN = ms(1)
DIRECT_MAX = ms(9)
#: Share of reports that are received directly; the others arrive by gossip.
DIRECT_SHARE = 0.99
GOSSIP_MIN = ms(100)
GOSSIP_MAX = ms(900)
HISTORY_LENGTH = timedelta(seconds=60)
#: Times after which a caller, or the ingress, sends a request again.
RESENDS_MS = (2, 20, 100, 1000, 5000)
#: A request sent again within this time is a retry by the ingress; after it, by
#: the caller.
INGRESS_RETRY_LIMIT = ms(10)
#: The caller of the crashing request stops after this many refusals.
MAX_REFUSALS = 100
_SECOND = timedelta(seconds=1)
_CRASHING_REQUEST = 0
_Action = Callable[[], None]


@dataclass(slots=True)
class Tally:
    """Counts over many histories.

    ``crashes`` counts the histories by their number of crashes. For unrelated
    requests, ``innocents`` counts the interruptions, ``alone`` the isolated
    runs and ``refused`` the refusals; ``waits_s`` are the times from the first
    interruption to the response, in seconds.
    """

    crashes: Counter[int] = field(default_factory=Counter)
    innocents: int = 0
    alone: int = 0
    refused: int = 0
    waits_s: list[float] = field(default_factory=list)


class _History:
    """Simulation of one crashing request in one service."""

    def __init__(self, rng: random.Random, resend: timedelta) -> None:
        self.crashes = 0
        self.tally = Tally()
        self._rng = rng
        self._resend = resend
        self._ingress_suspects = Suspects(())
        self._refusals = 0
        self._now = ZERO
        self._order = itertools.count()
        self._queue: list[tuple[timedelta, int, _Action]] = []
        self._daemons = [
            PoisonRequests(random.Random(rng.random()))
            for _ in range(UPSTREAMS)
        ]
        self._interrupted: dict[int, timedelta] = {}
        self._busy: dict[int, set[int]] = {}

    def run(self) -> None:
        """Simulate until ``HISTORY_LENGTH`` or until nothing is left to do."""
        self._later(ZERO, self._send_crashing_request)
        while self._queue and self._queue[0][0] < HISTORY_LENGTH:
            due = heapq.heappop(self._queue)
            self._now = due[0]
            due[2]()

    def _later(self, delay: timedelta, action: Callable[[], None]) -> None:
        heapq.heappush(
            self._queue, (self._now + delay, next(self._order), action)
        )

    def _send_crashing_request(self) -> None:
        if self._refusals < MAX_REFUSALS:
            self._later(self._resend, self._send_crashing_request)
        index = self._rng.randrange(UPSTREAMS)
        if self._resend < INGRESS_RETRY_LIMIT:
            self._receive(self._daemons[index], self._ingress_suspects)
        status = self._daemons[index].check(_CRASHING_REQUEST, self._now)
        if status is PoisonStatus.blocked:
            self._refusals += 1
            return
        self.crashes += 1
        in_flight = self._busy.pop(index, set())
        if status is PoisonStatus.clear:
            fresh = self._rng.choice((3, 4)) - len(in_flight)
            in_flight |= {next(self._order) + 1 for _ in range(fresh)}
        suspects = self._daemons[index].crashed(
            {_CRASHING_REQUEST, *in_flight}, self._now
        )
        self._ingress_suspects = suspects
        self._announce(index, suspects)
        for unrelated in in_flight:
            self._interrupted.setdefault(unrelated, self._now)
            self._later(
                self._resend, partial(self._send_unrelated_request, unrelated)
            )
        self.tally.innocents += len(in_flight)

    def _send_unrelated_request(self, unrelated: int) -> None:
        index = self._rng.randrange(UPSTREAMS)
        status = self._daemons[index].check(unrelated, self._now)
        if status is PoisonStatus.blocked:
            self.tally.refused += 1
            self._later(
                _SECOND, partial(self._send_unrelated_request, unrelated)
            )
            return
        if status is PoisonStatus.suspect:
            self.tally.alone += 1
        else:
            self._busy.setdefault(index, set()).add(unrelated)
        self._later(
            SERVICE_TIME, partial(self._finish, unrelated, index, status)
        )

    def _finish(self, unrelated: int, index: int, status: PoisonStatus) -> None:
        running = self._busy.get(index, set())
        if status is PoisonStatus.clear:
            if unrelated not in running:
                return
            running.discard(unrelated)
        suspects = self._daemons[index].finished(unrelated, True, self._now)
        self._announce(index, suspects)
        interrupted_at = self._interrupted.pop(unrelated, self._now)
        self.tally.waits_s.append((self._now - interrupted_at) / _SECOND)

    def _announce(self, index: int, suspects: Suspects) -> None:
        for target, daemon in enumerate(self._daemons):
            if target != index and suspects.entries:
                self._later(
                    self._announce_delay(),
                    partial(self._receive, daemon, suspects),
                )

    def _announce_delay(self) -> timedelta:
        if self._rng.random() < DIRECT_SHARE:
            return DIRECT_MIN + self._rng.random() * (DIRECT_MAX - DIRECT_MIN)
        return GOSSIP_MIN + self._rng.random() * (GOSSIP_MAX - GOSSIP_MIN)

    def _receive(self, daemon: PoisonRequests, suspects: Suspects) -> None:
        daemon.merge(suspects, self._now)


def measure(histories: int, resend: timedelta, seed: int) -> Tally:
    """Return the counts of a number of histories."""
    rng = random.Random(seed)
    total = Tally()
    for _ in range(histories):
        history = _History(rng, resend)
        history.run()
        total.crashes[history.crashes] += 1
        total.innocents += history.tally.innocents
        total.alone += history.tally.alone
        total.refused += history.tally.refused
        total.waits_s += history.tally.waits_s
    return total


@click.command()
@click.option('--histories', default=1000, type=click.IntRange(1, 100_000))
@click.option('--seed', default=1)
def convictions(histories: int, seed: int) -> None:
    """Measure the crashes by one request and the delay of unrelated ones."""
    for resend_ms in RESENDS_MS:
        tally = measure(histories, ms(resend_ms), seed)
        waits = sorted(tally.waits_s)
        p99 = waits[int(len(waits) * 0.99)]
        click.echo(
            f'resent after {resend_ms} ms: crashes'
            f' {dict(sorted(tally.crashes.items()))},'
            f' interruptions of unrelated requests {tally.innocents},'
            f' run alone {tally.alone},'
            f' refusals {tally.refused}, wait p99 {p99:.2f} s,'
            f' max {waits[-1]:.2f} s'
        )
