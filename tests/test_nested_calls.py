"""Guards against lost work of upstreams whose nested calls are refused."""

from collections import Counter
from dataclasses import dataclass, replace
from random import Random

import pytest
from test_queue_loads import DURATION_MS, SLOTS, WARM_UP_MS, Kind, Play

from greengagemux.admissions import LOWER_TIME_SHARE, Queue
from greengagemux.clocks import ms
from greengagemux.ids import RouteName
from greengagemux.messages import Priority
from greengagemux.nestedcalls.detection import CallRoutes

CALL = RouteName('call')
CLIENT = RouteName('client')
TICK_MS = 100


@dataclass
class Host:
    """One upstream that runs requests, makes calls, and has callers beside it.

    ``per_s`` are the requests that it starts and those of the callers on its
    host, which go to any upstream.
    """

    seed: int
    per_s: float = 1.8
    service_ms: float = 520
    calls: int = 2

    def __post_init__(self) -> None:
        self.rng = Random(self.seed)
        self.routes = CallRoutes()
        self.now_ms = 0
        self.ends_ms: list[float] = []
        self.calls_ms: list[float] = []
        self.seen: Counter[RouteName] = Counter()
        self.taken_for_calls: Counter[RouteName] = Counter()

    def run(self, duration_ms: int, burst: float = 1) -> None:
        """Let requests, calls and those of callers arrive for a while."""
        for _ in range(duration_ms):
            self.now_ms += 1
            self.ends_ms = [each for each in self.ends_ms if each > self.now_ms]
            if self.rng.random() < burst * self.per_s / 1000:
                self._start()
            if self.now_ms % TICK_MS == 0:
                self.routes.sample(len(self.ends_ms), ms(self.now_ms))
            while self.calls_ms and min(self.calls_ms) <= self.now_ms:
                self.calls_ms.remove(min(self.calls_ms))
                self._arrive(CALL)
            if self.rng.random() < burst * self.per_s / 1000:
                self._arrive(CLIENT)

    def _start(self) -> None:
        end_ms = self.now_ms + self.rng.expovariate(1 / self.service_ms)
        self.ends_ms.append(end_ms)
        if self.rng.random() < 0.7:
            self.calls_ms += [
                self.rng.uniform(self.now_ms, end_ms) for _ in range(self.calls)
            ]

    def _arrive(self, route: RouteName) -> None:
        self.seen[route] += 1
        found = self.routes.arrived(route, len(self.ends_ms))
        self.taken_for_calls[route] += int(found)


@pytest.mark.parametrize('seed', range(8))
def test_calls_are_told_from_requests_of_callers(seed: int) -> None:
    """A call must be recognised soon, a request of a caller never for long."""
    host = Host(seed)
    host.run(60_000)
    host.run(6000, burst=2.5)
    host.run(60_000)
    unrecognised = host.seen[CALL] - host.taken_for_calls[CALL]
    assert unrecognised <= 0.25 * host.seen[CALL]
    assert host.taken_for_calls[CLIENT] <= 0.05 * host.seen[CLIENT]


def test_routes_that_are_gone_are_forgotten() -> None:
    """Evidence must not pile up over many configurations."""
    routes = CallRoutes()
    for _ in range(20):
        routes.arrived(CALL, 3)
    assert routes.arrived(CALL, 3)
    routes.keep({CLIENT})
    assert not routes.arrived(CALL, 3)


#: Scan index calls of the harvest ledger at an upstream that a download shares.
SCAN = Kind('scan', 0, 150, 691, 2304, expected_ms=150)
REPORT = Kind('report', 2, 900, 2770, 6648, Priority.internal, 900)


@pytest.mark.parametrize('seed', range(3))
def test_calls_outlast_a_short_burst(seed: int) -> None:
    """Calls that are refused for their target lose the work of their callers.

    In a burst of two seconds they may wait for their deadline instead, which
    is when their callers give up.
    """
    usual = replace(SCAN, per_s=0.6 * 1000 * SLOTS / SCAN.service_ms)
    served = {}
    for target_ms in (SCAN.target_ms, SCAN.deadline_ms):
        play = Play([replace(usual, target_ms=target_ms)], seed)
        for _ in range(3):
            play.run(4000)
            play.kinds = [
                replace(usual, target_ms=target_ms, per_s=2.2 * usual.per_s)
            ]
            play.run(2000)
            play.kinds = [replace(usual, target_ms=target_ms)]
        play.run(4000)
        served[target_ms] = play.served('scan')
    assert served[SCAN.deadline_ms] >= 0.97
    assert served[SCAN.deadline_ms] >= served[SCAN.target_ms] + 0.03


@pytest.mark.parametrize('seed', range(3))
def test_long_requests_of_a_lower_class_get_their_share_of_time(
    seed: int,
) -> None:
    """One in twenty requests is a quarter of the time if they are long.

    Calls are refused for it, each of which costs its caller more than the
    download is worth.
    """
    scan = replace(SCAN, per_s=1.3 * 1000 * SLOTS / SCAN.service_ms)
    served = {}
    for time_shares in (False, True):
        play = Play([scan, REPORT], seed)
        upstreams = play.harness.egress.upstreams
        for upstream in upstreams.values():
            upstream.queue.time_shares = time_shares
        play.run(DURATION_MS)
        served[time_shares] = play.served('scan')
    assert served[True] >= served[False] + 0.05


def test_lower_class_is_not_starved_of_time() -> None:
    """Its share of the time must reach the least that is promised."""
    queue: Queue[_Item] = Queue(1000, 1000)
    queue.time_shares = True
    spent_ms: Counter[Priority] = Counter()
    costs_ms = {Priority.routine: 150, Priority.internal: 900}
    for priority, cost_ms in costs_ms.items():
        for number in range(10):
            queue.offer(_Item(number, priority, cost_ms))
    for number in range(10, 4000):
        item = queue.take()
        assert item is not None
        spent_ms[item.priority] += item.cost_ms
        queue.offer(_Item(number, item.priority, item.cost_ms))
    share = spent_ms[Priority.internal] / sum(spent_ms.values())
    assert 0.9 * LOWER_TIME_SHARE <= share <= 1.1 * LOWER_TIME_SHARE


@dataclass(frozen=True, eq=False)
class _Item:
    number: int
    priority: Priority
    cost_ms: float
    team: str = ''
    account: str = ''
    size_bytes: int = 1
    overdue_at: None = None
    hopeless_at = ms(WARM_UP_MS)

    @property
    def arrived(self) -> object:
        """Arrival time, in order of ``number``."""
        return ms(self.number)
