"""Requests that crash the upstreams that run them.

Every request in flight when an upstream crashes is a suspect and runs alone
from then on. A second crash convicts it. Crashes have identities, so copies
of one report count once, and two daemons that each saw one crash convict as
soon as either hears of the other.
"""

import random
from collections.abc import Iterable
from dataclasses import dataclass, field
from datetime import timedelta
from enum import Enum

import xxhash

from .clocks import MILLISECOND, ZERO, ms
from .messages import Suspect, Suspects

#: Lifetime of a suspicion or conviction; a new crash starts it again.
LIFETIME = timedelta(minutes=10)
#: How long a request is refused if another one was in all of its crashes.
#: One of them is innocent; each runs alone afterwards.
SHARED_TERM = timedelta(seconds=10)
CRASHES_TO_CONVICT = 2
#: Most fingerprints kept; those that expire first go first.
LIMIT = 4096
#: A request with this many crashes is refused even if it was cleared: it
#: completes at times and crashes its upstream at others.
CRASH_LIMIT = 16

_CRASH_BITS = 63
_LENGTH_BYTES = 4


class PoisonStatus(Enum):
    """What to do with a request."""

    clear = 'clear'
    #: Run it alone on its upstream.
    suspect = 'suspect'
    #: Refuse it, not run.
    convicted = 'convicted'


@dataclass(slots=True)
class _Case:
    """What is known of one fingerprint."""

    expires: timedelta
    #: Crashes by the time at which this daemon heard of them.
    crashes: dict[int, timedelta] = field(default_factory=dict)
    cleared: set[int] = field(default_factory=set)

    @property
    def counted(self) -> frozenset[int]:
        """Crashes that still speak against the request."""
        return frozenset(self.crashes.keys() - self.cleared)

    def tell(self, fingerprint: int, now: timedelta) -> Suspect:
        """Return the case for other daemons."""
        return Suspect(
            fingerprint,
            tuple(sorted(self.crashes)),
            tuple(sorted(self.cleared)),
            max(0, (self.expires - now) // MILLISECOND),
        )


def fingerprint(method: bytes, target: bytes, body: bytes) -> int:
    """Return the xxh3-64 of a request; lengths keep its parts apart."""
    digest = xxhash.xxh3_64()
    for part in (method, target, body):
        digest.update(len(part).to_bytes(_LENGTH_BYTES, 'big'))
        digest.update(part)
    return int(digest.intdigest())


class PoisonRequests:
    """Suspects and convictions known to one daemon."""

    def __init__(self, rng: random.Random, limit: int = LIMIT) -> None:
        """Start without suspects; ``rng`` gives crashes their identities."""
        self._rng = rng
        self._limit = limit
        self._cases: dict[int, _Case] = {}
        self._running: dict[int, int] = {}

    def __len__(self) -> int:
        """Return the number of fingerprints kept."""
        return len(self._cases)

    def check(self, subject: int, now: timedelta) -> PoisonStatus:
        """Return what to do with a request that is about to run."""
        case = self._case(subject, now)
        if case is None:
            return PoisonStatus.clear
        if len(case.crashes) >= CRASH_LIMIT:
            return PoisonStatus.convicted
        if not case.counted:
            return PoisonStatus.clear
        if len(case.counted) < CRASHES_TO_CONVICT:
            return PoisonStatus.suspect
        latest = max(case.crashes[crash] for crash in case.counted)
        if now - latest >= SHARED_TERM and self._is_shared(subject, case):
            return PoisonStatus.suspect
        return PoisonStatus.convicted

    def on_trial(self, subject: int) -> bool:
        """Return whether a request with this fingerprint runs here.

        Another copy of a suspect waits, or each copy could crash its own
        upstream.
        """
        return subject in self._running

    def started(self, subject: int) -> None:
        """Note that a request was sent to an upstream here."""
        self._running[subject] = self._running.get(subject, 0) + 1

    def finished(
        self, subject: int, answered: bool, now: timedelta
    ) -> Suspects:
        """Note the end of a request and return what to tell others.

        A whole answer clears the request of all crashes known here.
        """
        left = self._running.get(subject, 0) - 1
        self._running.pop(subject, None)
        if left > 0:
            self._running[subject] = left
        case = self._case(subject, now)
        if not answered or case is None or not case.counted:
            return Suspects(())
        case.cleared.update(case.crashes)
        return Suspects((case.tell(subject, now),))

    def crashed(self, in_flight: Iterable[int], now: timedelta) -> Suspects:
        """Note the crash of an upstream and return what to tell others.

        Call ``finished`` with ``answered=False`` for each of the requests.
        """
        crash = self._rng.getrandbits(_CRASH_BITS)
        told: list[Suspect] = []
        for subject in sorted(set(in_flight)):
            case = self._open(subject, now)
            self._add(case, (crash,), now)
            case.expires = now + LIFETIME
            told.append(case.tell(subject, now))
        self._bound(now)
        return Suspects(tuple(told))

    def merge(self, message: Suspects, now: timedelta) -> Suspects:
        """Take over what a peer tells and return what was new, to pass on."""
        told = [
            self._cases[entry.fingerprint].tell(entry.fingerprint, now)
            for entry in message.entries
            if entry.expires_in_ms > 0 and self._take(entry, now)
        ]
        self._bound(now)
        return Suspects(tuple(told))

    def snapshot(self, now: timedelta) -> Suspects:
        """Return all that is known, for a new stream."""
        self._bound(now)
        return Suspects(
            tuple(case.tell(key, now) for key, case in self._cases.items())
        )

    def hint(self, subject: int, now: timedelta) -> Suspects:
        """Return what is known of one request.

        Sent ahead of a retry on the same stream, it reaches the next
        upstream's daemon before the request does.
        """
        case = self._case(subject, now)
        return Suspects((case.tell(subject, now),) if case else ())

    def _take(self, entry: Suspect, now: timedelta) -> bool:
        """Return whether the entry told something new."""
        case = self._open(entry.fingerprint, now)
        before = (len(case.crashes), len(case.cleared))
        self._add(case, entry.crashes, now)
        if len(case.crashes) > before[0]:
            # Repeated reports must not prolong a case, new crashes do.
            told = ms(min(entry.expires_in_ms, LIFETIME // MILLISECOND))
            case.expires = max(case.expires, now + told)
        case.cleared |= case.crashes.keys() & set(entry.cleared)
        return before != (len(case.crashes), len(case.cleared))

    def _add(self, case: _Case, crashes: Iterable[int], now: timedelta) -> None:
        for crash in sorted(crashes):
            if len(case.crashes) < CRASH_LIMIT:
                case.crashes.setdefault(crash, now)

    def _is_shared(self, subject: int, case: _Case) -> bool:
        """Return whether another request was in all crashes of this one."""
        return any(
            other.counted >= case.counted
            for key, other in self._cases.items()
            if key != subject
        )

    def _case(self, subject: int, now: timedelta) -> _Case | None:
        case = self._cases.get(subject)
        if case is not None and now >= case.expires:
            self._cases.pop(subject)
            return None
        return case

    def _open(self, subject: int, now: timedelta) -> _Case:
        case = self._case(subject, now)
        if case is None:
            case = _Case(ZERO)
            self._cases[subject] = case
        return case

    def _bound(self, now: timedelta) -> None:
        over = len(self._cases) > self._limit
        for key, case in tuple(self._cases.items()):
            if now >= case.expires:
                self._cases.pop(key)
        if over:
            surplus = len(self._cases) - self._limit
            for key in sorted(self._cases, key=self._worth)[:surplus]:
                self._cases.pop(key)

    def _worth(self, subject: int) -> tuple[int, timedelta]:
        """Order of removal: cleared ones, suspects, convictions."""
        case = self._cases[subject]
        return min(len(case.counted), CRASHES_TO_CONVICT), case.expires
