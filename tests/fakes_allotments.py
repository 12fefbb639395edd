"""Allotments of many ingress daemons with a fake network and a manual clock."""

import heapq
from collections.abc import Callable, Iterable
from dataclasses import dataclass, field
from datetime import timedelta
from random import Random
from types import SimpleNamespace

from greengagemux.allotments.buckets import Tolerance
from greengagemux.allotments.clients import Allotments
from greengagemux.allotments.messages import TokenReply, TokenRequest
from greengagemux.bundles import Bundle, Caller
from greengagemux.clocks import ms
from greengagemux.effects import Outbox, Send
from greengagemux.ids import (
    BundleVersion,
    CallerName,
    DaemonId,
    DataCentre,
    Incarnation,
    Region,
    StreamId,
)
from greengagemux.messages import MemberRecord, Message
from greengagemux.paths import Path, PathState

ACCOUNT = CallerName('north')
TICK = ms(100)
LATENCY = ms(8)
#: Time after which a cut path has failed: the interval of pings of an idle
#: path and the time-out of a ping.
NOTICE = ms(2500)


class Host:
    """One daemon; it also stands in for its paths to the others."""

    def __init__(self, fleet: 'Fleet', number: int) -> None:
        self.fleet = fleet
        self.number = number
        self.record = MemberRecord(
            DaemonId(f'd{number}'),
            Incarnation(1),
            1,
            DataCentre('dc'),
            Region('region'),
            f'd{number}',
        )
        self.by_daemon: dict[DaemonId, Path] = {}
        self.alive = True
        self.start()

    def start(self) -> None:
        """Start a process without state."""
        self.outbox = Outbox()
        self.by_daemon.clear()
        self.allotments = Allotments(
            self.record, self, self.outbox, Tolerance()
        )
        self.allotments.configure(self.fleet.bundle, self.fleet.now)
        self.view([self])

    def view(self, hosts: Iterable['Host']) -> None:
        """Set the members that it knows."""
        live = {host.record.daemon: host.record for host in hosts}
        self.allotments.members_changed(live, self.fleet.now)

    def send(self, daemon: DaemonId, message: Message) -> bool:
        """Send a message to a peer; a cut loses it."""
        other = self.fleet.hosts[int(daemon[1:])]
        self.fleet.deliver(self, other, message)
        return True

    def want(self, daemon: DaemonId, address: str, now: timedelta) -> Path:
        """Return a path; all are open unless they have failed."""
        open_path = Path(daemon, address, PathState.open)
        return self.by_daemon.get(daemon, open_path)

    def apply(self) -> None:
        """Carry out effects and note the decisions."""
        for effect in self.outbox.drain():
            if isinstance(effect, Send):
                self.send(DaemonId(f'd{effect.stream}'), effect.message)
        for verdict in self.allotments.verdicts:
            times = (
                self.fleet.granted if verdict.granted else self.fleet.refused
            )
            times.append(self.fleet.now.total_seconds())
        self.allotments.verdicts.clear()


@dataclass
class Fleet:
    """Hosts, cuts between them, and the decisions on all requests."""

    rate_per_s: float
    burst: float
    size: int = 86
    seed: int = 1
    now: timedelta = timedelta()
    granted: list[float] = field(default_factory=list)
    refused: list[float] = field(default_factory=list)
    cut: frozenset[int] = frozenset()

    def __post_init__(self) -> None:
        self.rng = Random(self.seed)
        caller = Caller(ACCOUNT, rate_per_s=self.rate_per_s, burst=self.burst)
        self.caller = caller
        self.bundle = Bundle(
            BundleVersion(1), BundleVersion(0), callers={ACCOUNT: caller}
        )
        self.queue: list[tuple[timedelta, int, Callable[[], None]]] = []
        self.order = 0
        self.exchanges = 0
        self.hosts: list[Host] = []
        for number in range(self.size):
            self.hosts.append(Host(self, number))
        for host in self.hosts:
            host.view(self.hosts)
            self.after(
                TICK * self.rng.random(), lambda host=host: self._tick(host)
            )

    @property
    def owner(self) -> Host:
        """The owner in the view of the host with number 0."""
        daemon = self.hosts[0].allotments._view.owner(ACCOUNT)
        return self.hosts[int(daemon[1:])]

    def after(self, delay: timedelta, work: Callable[[], None]) -> None:
        """Schedule a call."""
        self.order += 1
        heapq.heappush(self.queue, (self.now + delay, self.order, work))

    def run(self, duration_s: float) -> None:
        """Let time pass."""
        end = self.now + timedelta(seconds=duration_s)
        while self.queue[0][0] <= end:
            self.now, _order, work = heapq.heappop(self.queue)
            work()
        self.now = end

    def load(self, per_s: float, duration_s: float, cluster: int = 1) -> None:
        """Send requests at random times to random hosts, some at once."""
        end_s = self.rng.expovariate(per_s / cluster)
        while end_s < duration_s:
            for host in self.rng.choices(self.hosts, k=cluster):
                self.after(
                    timedelta(seconds=end_s), lambda host=host: self.ask(host)
                )
            end_s += self.rng.expovariate(per_s / cluster)

    def ask(self, host: Host) -> None:
        """Send one request to a host."""
        if not host.alive:
            return
        self.exchanges += 1
        pending = SimpleNamespace(
            exchange=self.exchanges, caller=self.caller, tag='', done=False
        )
        host.allotments.ask(pending, self.now)
        host.apply()

    def deliver(self, sender: Host, other: Host, message: Message) -> None:
        """Deliver a message after the latency."""
        if self._parted(sender, other) or not other.alive:
            return

        def arrive() -> None:
            if not other.alive:
                return
            if isinstance(message, TokenRequest):
                stream = StreamId(sender.number)
                daemon = sender.record.daemon
                other.allotments.requested(daemon, stream, message, self.now)
            elif isinstance(message, TokenReply):
                daemon = sender.record.daemon
                other.allotments.replied(daemon, message, self.now)
            other.apply()

        self.after(LATENCY, arrive)

    def part(self, numbers: Iterable[int]) -> None:
        """Cut some hosts off from the others."""
        self.cut = frozenset(numbers)
        for host in self.hosts:
            for other in self.hosts:
                if self._parted(host, other):
                    self.after(
                        NOTICE * self.rng.random(),
                        lambda host=host, other=other: _fail(host, other),
                    )

    def kill(self, host: Host) -> None:
        """End a process; the others keep it as a member."""
        host.alive = False
        for other in self.hosts:
            if other is not host:
                self.after(
                    LATENCY,
                    lambda other=other: _fail(other, host, refused=True),
                )

    def most_in_window(self, window_s: float = 5) -> int:
        """Return the most requests that were granted in a window."""
        times = sorted(self.granted)
        first = 0
        most = 0
        for last, time_s in enumerate(times):
            while times[first] <= time_s - window_s:
                first += 1
            most = max(most, last - first + 1)
        return most

    @property
    def allowed(self) -> float:
        """The most requests in a window of 5 s that the limit tolerates."""
        return (self.rate_per_s * 5 + self.burst) * 1.1 + 20

    def _parted(self, host: Host, other: Host) -> bool:
        return (host.number in self.cut) != (other.number in self.cut)

    def _tick(self, host: Host) -> None:
        if host.alive:
            host.allotments.tick(self.now)
            host.apply()
        self.after(TICK, lambda: self._tick(host))


def _fail(host: Host, other: Host, *, refused: bool = False) -> None:
    path = Path(other.record.daemon, other.record.peer_address)
    path.refused = refused
    path.state = PathState.failed
    host.by_daemon[other.record.daemon] = path
