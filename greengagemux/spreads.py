"""Time until a bundle is in force everywhere, on a fake clock.

Feeds ``Distribution`` of many daemons directly, with tiny bundles. The time
to open a bundle and the size of its record at full size are added to each
delivery. Members are taken as known; streams within a region as open.
"""

import heapq
from collections.abc import Callable, Iterator
from dataclasses import dataclass
from datetime import timedelta
from functools import partial
from random import Random
from typing import Any

from .clocks import ZERO, ms
from .distribution import BUNDLE_STREAM, Distribution, reader_order
from .effects import Continue, Effect, Outbox, ReadLog, Send
from .events import LogRead, LogRecord
from .ids import DaemonId, DataCentre, Incarnation, LogOffset, Region, StreamId
from .messages import BundleRecord, MemberRecord, Message
from .rollouts import Rollout
from .signatures import keygen, sign

OPERATOR = 'alice'
CENTRES = 7
REGIONS = 2
#: Daemons of a data centre with streams to the other region.
RELAYS = 2
TICK_EVERY = ms(100)
NEAR = ms(1.5)
FAR = ms(8)
#: Bytes a second of the link between regions (30 Mbit/s).
LINK_BYTES = 30_000_000 / 8
#: Bytes a second that one host sends (1 Gbit/s).
HOST_BYTES = 125_000_000
#: Time of all turns in which a bundle of full size is opened.
OPEN_TIME = ms(350)
#: Bytes of a record of full size; the log sends it as base64.
DELTA_BYTES = 400
FULL_BYTES = 920_000
LOG_SHARE = 4 / 3
#: Time between two versions.
VERSION_EVERY = timedelta(seconds=8)
#: Time in which a new daemon learns the first version, before measuring.
WARM_UP = timedelta(seconds=8)

_Live = dict[DaemonId, MemberRecord]
_Work = Callable[[], None]
_Due = tuple[timedelta, int, _Work]


@dataclass(frozen=True, slots=True)
class Trial:
    """One measurement; ``kill_readers`` first readers die at the start."""

    daemons: int
    versions: int = 100
    full: bool = False
    kill_readers: int = 0
    loss: float = 0
    seed: int = 1

    @property
    def record_bytes(self) -> int:
        """Return the size of each record."""
        return FULL_BYTES if self.full else DELTA_BYTES


class _Streams:
    """Open streams of one daemon; the number of a peer is its stream."""

    def __init__(self, outbox: Outbox, peers: dict[DaemonId, int]) -> None:
        self._outbox = outbox
        self._peers = peers

    def connected(self, daemon: DaemonId) -> bool:
        return daemon in self._peers

    def send(self, daemon: DaemonId, message: Message) -> bool:
        self._outbox.emit(Send(StreamId(self._peers[daemon]), message))
        return True


class Spread:
    """A fleet of which only the distribution of bundles runs."""

    def __init__(self, trial: Trial) -> None:
        """Build all daemons; the log is in the region of daemon 0."""
        self.trial = trial
        self.now = ZERO
        self.in_force: dict[int, dict[int, timedelta]] = {}
        self._rng = Random(trial.seed)
        self._queue: list[_Due] = []
        self._order = 0
        self._log: list[bytes] = []
        private, public = keygen()
        self._private = private
        records = [_record(number) for number in range(trial.daemons)]
        self._live: _Live = {record.daemon: record for record in records}
        self._records = records
        self._link_free = [ZERO for _ in range(REGIONS)]
        self._host_free = [ZERO for _ in records]
        self._nodes: list[Distribution] = []
        self._outboxes: list[Outbox] = []
        self._dead: set[int] = set()
        for number, own in enumerate(records):
            self._add(
                number,
                own,
                Rollout({OPERATOR: public}, own.daemon, own.data_centre),
            )

    def run(self) -> list[float]:
        """Return the seconds until each version was in force everywhere."""
        self._publish(1)
        self._run_until(WARM_UP)
        self._dead.update(self._first_readers()[: self.trial.kill_readers])
        found: list[float] = []
        for version in range(2, self.trial.versions + 2):
            # A version comes at any phase of the reads.
            self._run_until(self.now + timedelta(seconds=self._rng.random()))
            published = self.now
            self._publish(version)
            self._run_until(published + VERSION_EVERY)
            found.append(self._whole(version, published))
        return found

    def _add(self, number: int, own: MemberRecord, rollout: Rollout) -> None:
        outbox = Outbox()
        streams: Any = _Streams(outbox, self._peers(number))
        rng = Random(f'{self.trial.seed}/{number}')
        self._nodes.append(Distribution(own, rollout, streams, outbox, rng))
        self._outboxes.append(outbox)
        phase = TICK_EVERY * self._rng.random()
        self._after(phase, partial(self._tick, number))

    def _whole(self, version: int, published: timedelta) -> float:
        times = self.in_force.get(version, {})
        alive = set(range(self.trial.daemons)) - self._dead
        if alive - set(times):
            return float('inf')
        return (max(times.values()) - published).total_seconds()

    def _peers(self, number: int) -> dict[DaemonId, int]:
        own = self._records[number]
        relay = _is_relay(number)
        return {
            other.daemon: place
            for place, other in enumerate(self._records)
            if place != number
            and (other.region == own.region or (relay and _is_relay(place)))
        }

    def _first_readers(self) -> list[int]:
        names = [record.daemon for record in self._records]
        first = {
            centre: reader_order(names[centre::CENTRES])[0]
            for centre in range(CENTRES)
        }
        return [names.index(daemon) for daemon in first.values()]

    def _publish(self, version: int) -> None:
        text = f'[bundle]\nversion = {version}\nfollows = {version - 1}\n'
        self._log.append(sign(text, OPERATOR, self._private))

    def _after(self, delay: timedelta, work: _Work) -> None:
        self._order += 1
        heapq.heappush(self._queue, (self.now + delay, self._order, work))

    def _run_until(self, end: timedelta) -> None:
        while self._queue and self._queue[0][0] <= end:
            due = heapq.heappop(self._queue)
            self.now = due[0]
            due[2]()
        self.now = end

    def _tick(self, number: int) -> None:
        if number in self._dead:
            return
        self._nodes[number].tick(self._live, self.now)
        self._carry_out(number)
        self._after(TICK_EVERY, partial(self._tick, number))

    def _carry_out(self, number: int) -> None:
        for effect in self._outboxes[number].drain():
            self._do(number, effect)
        bundle = self._nodes[number].take_change()
        if bundle is not None:
            times = self.in_force.setdefault(bundle.version, {})
            times.setdefault(number, self.now)

    def _do(self, number: int, effect: Effect) -> None:
        if isinstance(effect, Continue):
            # The time of all turns is part of each delivery.
            self._nodes[number].advance()
            self._carry_out(number)
        elif isinstance(effect, ReadLog):
            delay = self._delay(number, 0, 0)
            self._after(delay, lambda: self._read(number, effect, self.now))
        elif isinstance(effect, Send):
            if self._rng.random() < self.trial.loss:
                return
            message = effect.message
            peer = int(effect.stream)
            size = 0
            if isinstance(message, BundleRecord):
                size = self.trial.record_bytes
            delay = self._delay(number, peer, size)
            if size:
                delay += OPEN_TIME
            self._after(delay, lambda: self._receive(peer, number, message))

    def _receive(self, number: int, sender: int, message: Message) -> None:
        if number in self._dead:
            return
        self._nodes[number].receive(
            message,  # type: ignore[arg-type]
            StreamId(sender),
            self._live,
            self.now,
        )
        self._carry_out(number)

    def _read(self, number: int, effect: ReadLog, asked: timedelta) -> None:
        fresh = self._log[effect.start :]
        if not fresh and self.now - asked < effect.wait:
            self._after(ms(10), lambda: self._read(number, effect, asked))
            return
        records = tuple(
            LogRecord(LogOffset(effect.start + place), payload)
            for place, payload in enumerate(fresh)
        )
        following = LogOffset(effect.start + len(fresh))
        event = LogRead(BUNDLE_STREAM, LogOffset(0), following, records)
        size = round(len(fresh) * self.trial.record_bytes * LOG_SHARE)
        delay = self._delay(0, number, size)
        if fresh:
            delay += OPEN_TIME
        self._after(delay, lambda: self._log_read(number, event))

    def _log_read(self, number: int, event: LogRead) -> None:
        if number not in self._dead:
            self._nodes[number].log_event(event, self._live, self.now)
            self._carry_out(number)

    def _delay(self, source: int, target: int, size: int) -> timedelta:
        if _region(source) == _region(target):
            begin = max(self.now, self._host_free[source])
            sent = begin + timedelta(seconds=size / HOST_BYTES)
            self._host_free[source] = sent
            return sent - self.now + NEAR
        side = _region(source)
        start = max(self.now, self._link_free[side])
        self._link_free[side] = start + timedelta(seconds=size / LINK_BYTES)
        return self._link_free[side] - self.now + FAR


def trials(sizes: tuple[int, ...], versions: int) -> Iterator[Trial]:
    """Return the trials of the capacity page."""
    for daemons in sizes:
        yield Trial(daemons, versions)
        yield Trial(daemons, versions, kill_readers=1)
        yield Trial(daemons, versions, kill_readers=CENTRES)
    yield Trial(sizes[-1], versions, full=True)
    yield Trial(sizes[-1], versions, loss=0.05)


def _region(number: int) -> int:
    return number % CENTRES % REGIONS


def _is_relay(number: int) -> bool:
    return number < CENTRES * RELAYS


def _record(number: int) -> MemberRecord:
    return MemberRecord(
        daemon=DaemonId(f'd{number}'),
        incarnation=Incarnation(1),
        sequence=1,
        data_centre=DataCentre(f'dc-{number % CENTRES}'),
        region=Region(f'region-{_region(number)}'),
        peer_address=f'd{number}',
    )
