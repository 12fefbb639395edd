"""Callers of a soak run: open-loop load that repeats what may be repeated.

A request whose connection was refused was not sent and goes to another
daemon. A keyed write whose outcome is unknown is sent again with the same key
and body, as ``docs/callers.md`` tells callers to.
"""

from collections.abc import Iterator, Sequence
from dataclasses import dataclass, replace
from functools import partial
from typing import Any, NamedTuple

import msgspec
from twisted.internet.defer import Deferred

from greengagemux.clocks import Clock, SystemClock
from greengagemux.loadclients import Answer, Exchange, Lost, Pool
from greengagemux.loadplans import (
    Arrival,
    ArrivalKind,
    Plan,
    Profile,
    arrivals,
)
from greengagemux.loadreports import Result
from greengagemux.loads import GRACE_S, Planned, classify, request_bytes

#: Times that a request is sent, the first one included.
ATTEMPT_LIMIT = 6
REPEAT_AFTER_S = 0.7

_PATH = 'fleet'
_SWEEP_S = 0.05
_MS_PER_SECOND = 1000
_UNCERTAIN = frozenset((Result.unknown, Result.lost, Result.hung))


class Told(NamedTuple):
    """What one attempt of a request ended with; times are monotonic."""

    tag: str
    kind: str
    key: str
    entrance: str
    attempt: int
    outcome: Result
    reason: str
    sent_s: float
    ended_s: float


@dataclass(eq=False, slots=True)
class _Call:
    planned: Planned
    attempt: int
    address: str
    sent_s: float
    expires_s: float
    exchange: Exchange | None = None


def with_plain_writes(plan: Plan) -> Plan:
    """Return the plan with half of each keyed profile sent without keys."""
    profiles: list[Profile] = []
    for profile in plan.profiles:
        if not profile.keyed:
            profiles.append(profile)
            continue
        half = msgspec.structs.replace(profile, share=profile.share / 2)
        plain = msgspec.structs.replace(
            half, name=f'{profile.name}-plain', keyed=False
        )
        profiles += [half, plain]
    return replace(plan, profiles=tuple(profiles))


def kind_of(profile: Profile) -> str:
    """Return ``read``, ``keyed`` or ``plain``."""
    if profile.keyed:
        return 'keyed'
    return 'read' if profile.method in {'GET', 'HEAD'} else 'plain'


class Callers:
    """Sends the load of a soak run and keeps what callers were told."""

    def __init__(
        self,
        plan: Plan,
        entrances: Sequence[str],
        rate: float,
        seed: int,
        network: Any,
        clock: Clock | None = None,
    ) -> None:
        """Prepare; nothing is sent before ``start``."""
        self.told: list[Told] = []
        self.lag_s = float()
        self._network = network
        self._clock = clock or SystemClock()
        self._seed = seed
        self._run = f'soak{seed}'
        self._entrances = tuple(entrances)
        self._pools = {one: Pool(one, network) for one in entrances}
        self._arrivals: Iterator[Arrival] = arrivals(
            plan, rate, ArrivalKind.poisson, seed
        )
        self._next = next(self._arrivals)
        self._origin_s = float()
        self._open: dict[_Call, None] = {}
        self._repeats = 0
        self._ending = False
        self._done: Deferred[None] = Deferred()

    def start(self) -> Deferred[None]:
        """Send until ``finish``; fires when every caller knows its outcome."""
        self._origin_s = self._now()
        self._send_due()
        self._sweep()
        return self._done

    def finish(self) -> None:
        """Send no new requests; repetitions go on."""
        self._ending = True

    def _now(self) -> float:
        return self._clock.monotonic().total_seconds()

    def _send_due(self) -> None:
        if self._ending:
            return
        while self._origin_s + self._next.due_s <= self._now():
            arrival = self._next
            self.lag_s = max(
                self.lag_s, self._now() - self._origin_s - arrival.due_s
            )
            tag = f'{self._seed}-{arrival.number}'
            self._send(Planned(arrival.due_s, _PATH, tag, arrival), 1)
            self._next = next(self._arrivals)
        wait_s = self._origin_s + self._next.due_s - self._now()
        self._network.callLater(max(0, wait_s), self._send_due)

    def _send(self, planned: Planned, attempt: int) -> None:
        profile = planned.arrival.profile
        place = (planned.arrival.entrance + attempt) % len(self._entrances)
        address = self._entrances[place]
        now = self._now()
        expires_s = now + profile.deadline_ms / _MS_PER_SECOND + GRACE_S
        call = _Call(planned, attempt, address, now, expires_s)
        call.exchange = Exchange(
            request_bytes(planned, address, self._run, self._seed),
            profile.method == 'HEAD',
            partial(self._ended, call),
        )
        self._open[call] = None
        self._pools[address].ask(call.exchange)

    def _ended(self, call: _Call, answer: Answer | Lost) -> None:
        if isinstance(answer, Lost):
            self._tell(call, Result.lost, answer.value)
        elif self._now() > call.expires_s:
            self._tell(call, Result.hung, 'answered late')
        else:
            self._tell(call, *classify(call.planned, answer))

    def _tell(self, call: _Call, outcome: Result, reason: str) -> None:
        self._open.pop(call, None)
        profile = call.planned.arrival.profile
        tag = call.planned.tag
        self.told.append(
            Told(
                tag,
                kind_of(profile),
                f'{self._run}-{tag}' if profile.keyed else '',
                call.address,
                call.attempt,
                outcome,
                reason,
                call.sent_s,
                self._now(),
            )
        )
        unsent = reason == Lost.refused.value
        again = unsent or (profile.keyed and outcome in _UNCERTAIN)
        if again and call.attempt < ATTEMPT_LIMIT:
            self._repeats += 1
            delay_s = 0 if unsent else REPEAT_AFTER_S * call.attempt
            self._network.callLater(
                delay_s, self._repeat, call.planned, call.attempt + 1
            )

    def _repeat(self, planned: Planned, attempt: int) -> None:
        self._repeats -= 1
        self._send(planned, attempt)

    def _sweep(self) -> None:
        now = self._now()
        late = [call for call in self._open if call.expires_s < now]
        for call in late:
            if call.exchange is not None:
                call.exchange.abandon()
            self._tell(call, Result.hung, 'no answer')
        if self._ending and not (self._open or self._repeats):
            for pool in self._pools.values():
                pool.close()
            self._done.callback(None)
            return
        self._network.callLater(_SWEEP_S, self._sweep)
