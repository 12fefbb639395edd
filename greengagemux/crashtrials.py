"""Measures how many crashes a request causes and which innocents wait.

One caller sends a crashing request again and again to random upstreams, each
with other requests in flight. Callers of innocents that were interrupted send
them again. A report goes straight to the daemons that have upstreams of the
service; some miss it and hear of it by gossip. A retry by the entrance
carries what it was told.
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
SERVICE = ms(25)
DIRECT_MIN = ms(1)
DIRECT_MAX = ms(9)
DIRECT_SHARE = 0.99
GOSSIP_MIN = ms(100)
GOSSIP_MAX = ms(900)
LENGTH = timedelta(seconds=60)
RESENDS_MS = (2, 20, 100, 1000, 5000)
#: A repetition within this time comes from the entrance, not the caller.
RETRY = ms(10)
#: The caller gives up after this many refusals.
REFUSALS = 100
_SECOND = timedelta(seconds=1)
_CULPRIT = 0
_Action = Callable[[], None]


@dataclass(slots=True)
class Tally:
    """Counts over many histories; the times are in seconds."""

    crashes: Counter[int] = field(default_factory=Counter)
    innocents: int = 0
    alone: int = 0
    refused: int = 0
    waits_s: list[float] = field(default_factory=list)


class _History:
    """One crashing request in one service."""

    def __init__(self, rng: random.Random, resend: timedelta) -> None:
        self.crashes = 0
        self.tally = Tally()
        self._rng = rng
        self._resend = resend
        self._hint = Suspects(())
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
        """Run until the end of the history."""
        self._later(ZERO, self._send_culprit)
        while self._queue and self._queue[0][0] < LENGTH:
            due = heapq.heappop(self._queue)
            self._now = due[0]
            due[2]()

    def _later(self, delay: timedelta, action: Callable[[], None]) -> None:
        heapq.heappush(
            self._queue, (self._now + delay, next(self._order), action)
        )

    def _send_culprit(self) -> None:
        if self._refusals < REFUSALS:
            self._later(self._resend, self._send_culprit)
        place = self._rng.randrange(UPSTREAMS)
        if self._resend < RETRY:
            self._hear(self._daemons[place], self._hint)
        verdict = self._daemons[place].check(_CULPRIT, self._now)
        if verdict is PoisonStatus.blocked:
            self._refusals += 1
            return
        self.crashes += 1
        victims = self._busy.pop(place, set())
        if verdict is PoisonStatus.clear:
            fresh = self._rng.choice((3, 4)) - len(victims)
            victims |= {next(self._order) + 1 for _ in range(fresh)}
        told = self._daemons[place].crashed({_CULPRIT, *victims}, self._now)
        self._hint = told
        self._gossip(place, told)
        for innocent in victims:
            self._interrupted.setdefault(innocent, self._now)
            self._later(self._resend, partial(self._send_innocent, innocent))
        self.tally.innocents += len(victims)

    def _send_innocent(self, innocent: int) -> None:
        place = self._rng.randrange(UPSTREAMS)
        verdict = self._daemons[place].check(innocent, self._now)
        if verdict is PoisonStatus.blocked:
            self.tally.refused += 1
            self._later(_SECOND, partial(self._send_innocent, innocent))
            return
        if verdict is PoisonStatus.suspect:
            self.tally.alone += 1
        else:
            self._busy.setdefault(place, set()).add(innocent)
        self._later(SERVICE, partial(self._finish, innocent, place, verdict))

    def _finish(self, innocent: int, place: int, verdict: PoisonStatus) -> None:
        running = self._busy.get(place, set())
        if verdict is PoisonStatus.clear:
            if innocent not in running:
                return
            running.discard(innocent)
        told = self._daemons[place].finished(innocent, True, self._now)
        self._gossip(place, told)
        since = self._interrupted.pop(innocent, self._now)
        self.tally.waits_s.append((self._now - since) / _SECOND)

    def _gossip(self, place: int, told: Suspects) -> None:
        for target, daemon in enumerate(self._daemons):
            if target != place and told.entries:
                self._later(self._delay(), partial(self._hear, daemon, told))

    def _delay(self) -> timedelta:
        if self._rng.random() < DIRECT_SHARE:
            return DIRECT_MIN + self._rng.random() * (DIRECT_MAX - DIRECT_MIN)
        return GOSSIP_MIN + self._rng.random() * (GOSSIP_MAX - GOSSIP_MIN)

    def _hear(self, daemon: PoisonRequests, told: Suspects) -> None:
        daemon.merge(told, self._now)


def measure(histories: int, resend: timedelta, seed: int) -> Tally:
    """Run some histories and add up their counts."""
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
    """Measure crashes of one request and the innocents that wait."""
    for resend_ms in RESENDS_MS:
        tally = measure(histories, ms(resend_ms), seed)
        waits = sorted(tally.waits_s)
        p99 = waits[int(len(waits) * 0.99)]
        click.echo(
            f'sent again after {resend_ms} ms: crashes'
            f' {dict(sorted(tally.crashes.items()))},'
            f' innocents {tally.innocents}, run alone {tally.alone},'
            f' refusals {tally.refused}, wait p99 {p99:.2f} s,'
            f' max {waits[-1]:.2f} s'
        )
