"""Simulation of the time until a bundle is in force on all daemons.

Runs the ``Distribution`` of many daemons on a fake clock, with tiny bundles.
Each delivery of a record takes the transfer time of a full-size record and
the time to open a full-size bundle. All members are known from the start, and
the streams within a region and between relays are open.
"""

import heapq
from collections.abc import Callable, Iterator
from dataclasses import dataclass
from datetime import timedelta
from functools import partial
from random import Random
from typing import Any

from .clocks import ZERO, ms
from .distribution import BUNDLE_STREAM, Distribution
from .effects import Continue, Effect, Outbox, ReadLog, Send
from .events import LogRead, LogRecord
from .ids import DaemonId, DataCentre, Incarnation, LogOffset, Region, StreamId
from .messages import BundleRecord, MemberRecord, Message
from .readers import reader_order
from .rollouts import Rollout
from .signatures import keygen, sign

OPERATOR = 'alice'
DATA_CENTRES = 7
REGIONS = 2
#: Daemons per data centre with streams to the relays of the other region.
RELAYS_PER_DATA_CENTRE = 2
TICK_INTERVAL = ms(100)
SAME_REGION_LATENCY = ms(1.5)
BETWEEN_REGIONS_LATENCY = ms(8)
#: Bytes per second of the link between regions (30 Mbit/s), each direction.
LINK_BYTES_PER_SECOND = 30_000_000 / 8
#: Bytes per second that one host can send (1 Gbit/s).
HOST_BYTES_PER_SECOND = 125_000_000
#: Time to verify and parse a full-size bundle, over all its reducer turns.
BUNDLE_OPEN_TIME = ms(350)
#: Record sizes of a full-size bundle, as a delta and in full.
DELTA_BYTES = 400
FULL_BYTES = 920_000
#: The log sends records as base64.
BASE64_EXPANSION = 4 / 3
#: Time from one version to the next, in which it must be in force everywhere.
VERSION_INTERVAL = timedelta(seconds=8)
#: Time for all daemons to receive the first version, before the measurement.
WARM_UP = timedelta(seconds=8)

_LiveMembers = dict[DaemonId, MemberRecord]
_Action = Callable[[], None]
_ScheduledAction = tuple[timedelta, int, _Action]


@dataclass(frozen=True, slots=True)
class Trial:
    """Parameters of one measurement.

    With ``full`` each record has the size of a full record, else that of a
    delta. The first reader of the log in ``kill_readers`` data centres stops
    after the warm-up. ``loss`` is the share of messages between daemons that
    is lost.
    """

    daemons: int
    versions: int = 100
    full: bool = False
    kill_readers: int = 0
    loss: float = 0
    seed: int = 1

    @property
    def record_bytes(self) -> int:
        """Size of each record."""
        return FULL_BYTES if self.full else DELTA_BYTES


class _Streams:
    """Open streams of one daemon, numbered by the peer's position."""

    def __init__(self, outbox: Outbox, peers: dict[DaemonId, int]) -> None:
        self._outbox = outbox
        self._peers = peers

    def connected(self, daemon: DaemonId) -> bool:
        return daemon in self._peers

    def send(self, daemon: DaemonId, message: Message) -> bool:
        self._outbox.emit(Send(StreamId(self._peers[daemon]), message))
        return True


class RolloutSimulation:
    """Simulated fleet that runs only the distribution of bundles."""

    def __init__(self, trial: Trial) -> None:
        """Create all daemons; the log is in the region of daemon 0."""
        self.trial = trial
        self.now = ZERO
        self.in_force: dict[int, dict[int, timedelta]] = {}
        self._rng = Random(trial.seed)
        self._queue: list[_ScheduledAction] = []
        self._sequence = 0
        self._log: list[bytes] = []
        private, public = keygen()
        self._private = private
        records = [_record(number) for number in range(trial.daemons)]
        self._live: _LiveMembers = {record.daemon: record for record in records}
        self._records = records
        self._link_free_at = [ZERO for _ in range(REGIONS)]
        self._host_free_at = [ZERO for _ in records]
        self._distributions: list[Distribution] = []
        self._outboxes: list[Outbox] = []
        self._dead: set[int] = set()
        for number, own in enumerate(records):
            self._add(
                number,
                own,
                Rollout({OPERATOR: public}, own.daemon, own.data_centre),
            )

    def run(self) -> list[float]:
        """Return the seconds until each version was in force everywhere.

        A version that some running daemon did not apply before the next one
        counts as ``inf``.
        """
        self._publish(1)
        self._run_until(WARM_UP)
        self._dead.update(self._first_readers()[: self.trial.kill_readers])
        durations: list[float] = []
        for version in range(2, self.trial.versions + 2):
            # Versions are published at a random phase of the reads.
            self._run_until(self.now + timedelta(seconds=self._rng.random()))
            published = self.now
            self._publish(version)
            self._run_until(published + VERSION_INTERVAL)
            durations.append(self._seconds_until_everywhere(version, published))
        return durations

    def _add(self, number: int, own: MemberRecord, rollout: Rollout) -> None:
        outbox = Outbox()
        streams: Any = _Streams(outbox, self._peers(number))
        rng = Random(f'{self.trial.seed}/{number}')
        self._distributions.append(
            Distribution(own, rollout, streams, outbox, rng)
        )
        self._outboxes.append(outbox)
        phase = TICK_INTERVAL * self._rng.random()
        self._schedule(phase, partial(self._tick, number))

    def _seconds_until_everywhere(
        self, version: int, published: timedelta
    ) -> float:
        times = self.in_force.get(version, {})
        alive = set(range(self.trial.daemons)) - self._dead
        if alive - set(times):
            return float('inf')
        return (max(times.values()) - published).total_seconds()

    def _peers(self, number: int) -> dict[DaemonId, int]:
        own = self._records[number]
        relay = _is_relay(number)
        return {
            other.daemon: position
            for position, other in enumerate(self._records)
            if position != number
            and (other.region == own.region or (relay and _is_relay(position)))
        }

    def _first_readers(self) -> list[int]:
        names = [record.daemon for record in self._records]
        first = {
            centre: reader_order(names[centre::DATA_CENTRES])[0]
            for centre in range(DATA_CENTRES)
        }
        return [names.index(daemon) for daemon in first.values()]

    def _publish(self, version: int) -> None:
        text = f'[bundle]\nversion = {version}\nfollows = {version - 1}\n'
        self._log.append(sign(text, OPERATOR, self._private))

    def _schedule(self, delay: timedelta, action: _Action) -> None:
        self._sequence += 1
        heapq.heappush(self._queue, (self.now + delay, self._sequence, action))

    def _run_until(self, end: timedelta) -> None:
        while self._queue and self._queue[0][0] <= end:
            due = heapq.heappop(self._queue)
            self.now = due[0]
            due[2]()
        self.now = end

    def _tick(self, number: int) -> None:
        if number in self._dead:
            return
        self._distributions[number].tick(self._live, self.now)
        self._carry_out(number)
        self._schedule(TICK_INTERVAL, partial(self._tick, number))

    def _carry_out(self, number: int) -> None:
        for effect in self._outboxes[number].drain():
            self._apply(number, effect)
        bundle = self._distributions[number].take_change()
        if bundle is not None:
            times = self.in_force.setdefault(bundle.version, {})
            times.setdefault(number, self.now)

    def _apply(self, number: int, effect: Effect) -> None:
        if isinstance(effect, Continue):
            # Takes no time: the delivery included ``BUNDLE_OPEN_TIME``.
            self._distributions[number].advance()
            self._carry_out(number)
        elif isinstance(effect, ReadLog):
            delay = self._delay(number, 0, 0)
            self._schedule(
                delay, lambda: self._serve_read(number, effect, self.now)
            )
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
                delay += BUNDLE_OPEN_TIME
            self._schedule(delay, lambda: self._receive(peer, number, message))

    def _receive(self, number: int, sender: int, message: Message) -> None:
        if number in self._dead:
            return
        self._distributions[number].receive(
            message,  # type: ignore[arg-type]
            StreamId(sender),
            self._live,
            self.now,
        )
        self._carry_out(number)

    def _serve_read(
        self, number: int, effect: ReadLog, asked: timedelta
    ) -> None:
        fresh = self._log[effect.start :]
        if not fresh and self.now - asked < effect.wait:
            self._schedule(
                ms(10), lambda: self._serve_read(number, effect, asked)
            )
            return
        records = tuple(
            LogRecord(LogOffset(effect.start + position), payload)
            for position, payload in enumerate(fresh)
        )
        following = LogOffset(effect.start + len(fresh))
        event = LogRead(BUNDLE_STREAM, LogOffset(0), following, records)
        size = round(len(fresh) * self.trial.record_bytes * BASE64_EXPANSION)
        delay = self._delay(0, number, size)
        if fresh:
            delay += BUNDLE_OPEN_TIME
        self._schedule(delay, lambda: self._deliver_read(number, event))

    def _deliver_read(self, number: int, event: LogRead) -> None:
        if number not in self._dead:
            self._distributions[number].log_event(event, self._live, self.now)
            self._carry_out(number)

    def _delay(self, source: int, target: int, size: int) -> timedelta:
        if _region(source) == _region(target):
            begin = max(self.now, self._host_free_at[source])
            sent = begin + timedelta(seconds=size / HOST_BYTES_PER_SECOND)
            self._host_free_at[source] = sent
            return sent - self.now + SAME_REGION_LATENCY
        source_region = _region(source)
        start = max(self.now, self._link_free_at[source_region])
        self._link_free_at[source_region] = start + timedelta(
            seconds=size / LINK_BYTES_PER_SECOND
        )
        return (
            self._link_free_at[source_region]
            - self.now
            + BETWEEN_REGIONS_LATENCY
        )


def trials(sizes: tuple[int, ...], versions: int) -> Iterator[Trial]:
    """Yield the trials of the capacity page for numbers of daemons."""
    for daemons in sizes:
        yield Trial(daemons, versions)
        yield Trial(daemons, versions, kill_readers=1)
        yield Trial(daemons, versions, kill_readers=DATA_CENTRES)
    yield Trial(sizes[-1], versions, full=True)
    yield Trial(sizes[-1], versions, loss=0.05)


def _region(number: int) -> int:
    return number % DATA_CENTRES % REGIONS


def _is_relay(number: int) -> bool:
    return number < DATA_CENTRES * RELAYS_PER_DATA_CENTRE


def _record(number: int) -> MemberRecord:
    return MemberRecord(
        daemon=DaemonId(f'd{number}'),
        incarnation=Incarnation(1),
        sequence=1,
        data_centre=DataCentre(f'dc-{number % DATA_CENTRES}'),
        region=Region(f'region-{_region(number)}'),
        peer_address=f'd{number}',
    )
