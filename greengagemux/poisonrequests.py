"""Detects poison requests, which crash the upstreams that run them.

Every request in flight when an upstream crashes is a suspect and runs alone
from then on. After a second crash it is blocked. Crashes have identities, so
copies of one report count once, and two daemons that each saw one crash block
the request as soon as either receives the report of the other.
"""

import random
from collections.abc import Iterable
from dataclasses import dataclass, field
from datetime import timedelta
from enum import Enum

import xxhash

from .clocks import MILLISECOND, ZERO, ms
from .messages import Dispatch, Suspect, Suspects

#: Time after its newest crash for which a request stays suspect or blocked.
LIFETIME = timedelta(minutes=10)
#: How long a request is blocked if another one was in all of its crashes. One
#: of them is unrelated, so each runs alone afterwards.
SHARED_BLOCK_TIME = timedelta(seconds=10)
CRASHES_TO_BLOCK = 2
#: Most fingerprints kept. Beyond it cleared ones are evicted first, then
#: suspects, then blocked ones; within each group those that expire first.
LIMIT = 4096
#: A request with this many crashes is blocked even if it was cleared, because
#: it completes at some times and crashes its upstream at others.
CRASH_LIMIT = 16

#: Most entries of blocked requests in one message that repeats them.
REPEATED_LIMIT = 64

_CRASH_BITS = 63
_LENGTH_BYTES = 4


class PoisonStatus(Enum):
    """Whether and how a request may run."""

    clear = 'clear'
    #: Run it alone on its upstream.
    suspect = 'suspect'
    #: Refuse it without running it.
    blocked = 'convicted'


@dataclass(slots=True)
class _CrashRecord:
    """Crashes and completions of one fingerprint."""

    expires: timedelta
    #: Time at which this daemon learned of each crash.
    crashes: dict[int, timedelta] = field(default_factory=dict)
    #: Crashes after which the request has completed.
    cleared: set[int] = field(default_factory=set)

    @property
    def uncleared(self) -> frozenset[int]:
        """Crashes after which the request has not completed."""
        return frozenset(self.crashes.keys() - self.cleared)

    def to_entry(self, fingerprint: int, now: timedelta) -> Suspect:
        """Return the entry for other daemons."""
        return Suspect(
            fingerprint,
            tuple(sorted(self.crashes)),
            tuple(sorted(self.cleared)),
            max(0, (self.expires - now) // MILLISECOND),
        )


def fingerprint(*parts: bytes) -> int:
    """Return the xxh3-64 of a request; length prefixes delimit its parts."""
    digest = xxhash.xxh3_64()
    for part in parts:
        digest.update(len(part).to_bytes(_LENGTH_BYTES, 'big'))
        digest.update(part)
    return int(digest.intdigest())


def request_fingerprint(
    method: bytes, host: bytes, target: bytes, body: bytes, caller: str
) -> int:
    """Return the fingerprint of a request: what it asks, where, and who."""
    return fingerprint(method, host, target, body, caller.encode())


def dispatch_fingerprint(message: Dispatch) -> int:
    """Return the fingerprint of a dispatched request."""
    return request_fingerprint(
        message.method,
        message.host,
        message.target,
        message.body,
        message.caller,
    )


class PoisonRequests:
    """Suspect, blocked and cleared requests known to one daemon."""

    def __init__(self, rng: random.Random, limit: int = LIMIT) -> None:
        """Start without suspects; ``rng`` gives crashes their identities."""
        self._rng = rng
        self._limit = limit
        self._records: dict[int, _CrashRecord] = {}
        self._running: dict[int, int] = {}

    def __len__(self) -> int:
        """Return the number of fingerprints kept."""
        return len(self._records)

    def check(self, subject: int, now: timedelta) -> PoisonStatus:
        """Return whether a request is clear, to run alone, or blocked."""
        record = self._find(subject, now)
        if record is None:
            return PoisonStatus.clear
        if len(record.crashes) >= CRASH_LIMIT:
            return PoisonStatus.blocked
        if not record.uncleared:
            return PoisonStatus.clear
        if len(record.uncleared) < CRASHES_TO_BLOCK:
            return PoisonStatus.suspect
        latest = max(record.crashes[crash] for crash in record.uncleared)
        if now - latest >= SHARED_BLOCK_TIME and self._is_shared(
            subject, record
        ):
            return PoisonStatus.suspect
        return PoisonStatus.blocked

    def is_running(self, subject: int) -> bool:
        """Return whether a request with this fingerprint runs here.

        Copies of a suspect run one at a time, or each copy could crash
        another upstream.
        """
        return subject in self._running

    def started(self, subject: int) -> None:
        """Count a request that was sent to an upstream beside this daemon."""
        self._running[subject] = self._running.get(subject, 0) + 1

    def finished(
        self, subject: int, answered: bool, now: timedelta
    ) -> Suspects:
        """Record the end of a request and return the update for peers.

        ``answered`` means that it ran to its end, which clears it of all
        crashes known here.
        """
        still_running = self._running.get(subject, 0) - 1
        self._running.pop(subject, None)
        if still_running > 0:
            self._running[subject] = still_running
        record = self._find(subject, now)
        if not answered or record is None or not record.uncleared:
            return Suspects(())
        record.cleared.update(record.crashes)
        return Suspects((record.to_entry(subject, now),))

    def crashed(self, in_flight: Iterable[int], now: timedelta) -> Suspects:
        """Record the crash of an upstream and return the update for peers.

        Call ``finished`` with ``answered=False`` for each of the requests.
        """
        crash = self._rng.getrandbits(_CRASH_BITS)
        entries: list[Suspect] = []
        for subject in sorted(set(in_flight)):
            record = self._find_or_add(subject, now)
            self._add_crashes(record, (crash,), now)
            record.expires = now + LIFETIME
            entries.append(record.to_entry(subject, now))
        self._evict(now)
        return Suspects(tuple(entries))

    def merge(self, message: Suspects, now: timedelta) -> Suspects:
        """Merge entries of a peer and return the changed ones to forward."""
        entries = [
            self._records[entry.fingerprint].to_entry(entry.fingerprint, now)
            for entry in message.entries
            if entry.expires_in_ms > 0 and self._merge_entry(entry, now)
        ]
        self._evict(now)
        return Suspects(tuple(entries))

    def snapshot(self, now: timedelta) -> Suspects:
        """Return all entries, for a new stream."""
        self._evict(now)
        return Suspects(
            tuple(
                record.to_entry(key, now)
                for key, record in self._records.items()
            )
        )

    def blocked(self, now: timedelta) -> Suspects:
        """Return the entries of the newest blocked requests."""
        if not self._records:
            return Suspects(())
        blocked = [
            record.to_entry(key, now)
            for key, record in tuple(self._records.items())
            if self.check(key, now) is PoisonStatus.blocked
        ]
        return Suspects(tuple(blocked[-REPEATED_LIMIT:]))

    def suspects_for(self, subject: int, now: timedelta) -> Suspects:
        """Return the entry of one request, if there is one.

        Sent ahead of a retry on the same stream, it reaches the next egress
        before the request does.
        """
        record = self._find(subject, now)
        return Suspects((record.to_entry(subject, now),) if record else ())

    def _merge_entry(self, entry: Suspect, now: timedelta) -> bool:
        """Merge an entry and return whether it held anything new."""
        record = self._find_or_add(entry.fingerprint, now)
        before = (len(record.crashes), len(record.cleared))
        self._add_crashes(record, entry.crashes, now)
        if len(record.crashes) > before[0]:
            # Only new crashes extend the lifetime; repeated reports do not.
            lifetime = ms(min(entry.expires_in_ms, LIFETIME // MILLISECOND))
            record.expires = max(record.expires, now + lifetime)
        record.cleared |= record.crashes.keys() & set(entry.cleared)
        return before != (len(record.crashes), len(record.cleared))

    def _add_crashes(
        self, record: _CrashRecord, crashes: Iterable[int], now: timedelta
    ) -> None:
        for crash in sorted(crashes):
            if len(record.crashes) < CRASH_LIMIT:
                record.crashes.setdefault(crash, now)

    def _is_shared(self, subject: int, record: _CrashRecord) -> bool:
        """Return whether another request was in all crashes of this one."""
        return any(
            other.uncleared >= record.uncleared
            for key, other in self._records.items()
            if key != subject
        )

    def _find(self, subject: int, now: timedelta) -> _CrashRecord | None:
        record = self._records.get(subject)
        if record is not None and now >= record.expires:
            self._records.pop(subject)
            return None
        return record

    def _find_or_add(self, subject: int, now: timedelta) -> _CrashRecord:
        record = self._find(subject, now)
        if record is None:
            record = _CrashRecord(ZERO)
            self._records[subject] = record
        return record

    def _evict(self, now: timedelta) -> None:
        over = len(self._records) > self._limit
        for key, record in tuple(self._records.items()):
            if now >= record.expires:
                self._records.pop(key)
        if over:
            surplus = len(self._records) - self._limit
            for key in sorted(self._records, key=self._eviction_key)[:surplus]:
                self._records.pop(key)

    def _eviction_key(self, subject: int) -> tuple[int, timedelta]:
        """Return the sort key: cleared ones first, then suspect, blocked."""
        record = self._records[subject]
        return min(len(record.uncleared), CRASHES_TO_BLOCK), record.expires
