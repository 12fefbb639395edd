"""Seeded faults of a soak run, injected from a thread of their own."""

import heapq
import random
import threading
import time
from collections.abc import Callable, Iterator
from dataclasses import dataclass
from functools import partial
from typing import NamedTuple

from .fleets import OPERATOR, fetch
from .processes import LaunchError
from .soakfleets import SECOND_OPERATOR, LinkedFleet

INTERVAL_S = 0.9
PAUSE_LIMIT_S = 8.0
#: From the start of a process until its fault counts as ended.
RESTART_S = 1.5
#: Daemons and upstreams disturbed at once; the rest has to serve.
DAEMONS_AT_ONCE = 2
UPSTREAMS_AT_ONCE = 4

_POLL_S = 0.02
_Order = dict[str, object]
_Orders = tuple[tuple[str, _Order], ...]
_Later = tuple[float, int, Callable[[], object]]
_BUNDLES = 'bundles'

#: Standing faults and actions of an upstream; health reports claim health.
UPSTREAM_FAULTS: _Orders = (
    ('hang', {'hang': True}),
    ('slow', {'slow': 10}),
    ('errors', {'errors': 1}),
    ('some-errors', {'errors': 0.2}),
    ('wrong', {'wrong': 1}),
    ('some-wrong', {'wrong': 0.2}),
    ('half-alive', {'half_alive': 0.5}),
    ('flapping', {'flap_period_ms': 1500}),
    ('reset', {'reset': 0.5}),
    ('pause', {'pause_ms': 2000}),
    ('silent', {'silent': True}),
    ('reset-connections', {'reset_connections': True}),
)
LOG_FAULTS: _Orders = (
    ('refuse', {'outage': 'refuse'}),
    ('reset', {'outage': 'reset'}),
    ('hang', {'outage': 'hang'}),
    ('slow', {'slow_ms': 1500}),
    ('lose-replies', {'lose_replies': 0.8}),
)


class Fault(NamedTuple):
    """One fault with its time; times are monotonic."""

    kind: str
    target: str
    since_s: float
    until_s: float


@dataclass(eq=False, slots=True)
class _Open:
    kind: str
    target: str
    since_s: float


class Injector(threading.Thread):
    """Injects faults until it is told to stop, then ends all of them."""

    def __init__(
        self, fleet: LinkedFleet, seed: int, kinds: tuple[str, ...] = ()
    ) -> None:
        """Draw from ``kinds``, or from all."""
        super().__init__(name='faults')
        self.faults: list[Fault] = []
        self.errors: list[str] = []
        self.races: list[tuple[int, float]] = []
        self._fleet = fleet
        self._rng = random.Random(f'{seed} faults')
        self._kinds = kinds or tuple(self._starters())
        self._later: list[_Later] = []
        self._count = 0
        self._disturbed: dict[str, _Open] = {}
        self._version = 1
        self._ending = threading.Event()

    def finish(self) -> None:
        """End all faults; ``join`` waits for it."""
        self._ending.set()

    def run(self) -> None:
        """Inject one fault in each interval."""
        due_s = time.monotonic()
        while not self._ending.is_set():
            if time.monotonic() >= due_s:
                due_s += INTERVAL_S
                self._guarded(self._inject)
            self._run_later()
            time.sleep(_POLL_S)
        while self._later:
            self._run_later()
            time.sleep(_POLL_S)

    def _starters(self) -> dict[str, Callable[[], bool]]:
        return {
            'daemon-kill': self._kill_daemon,
            'daemon-pause': self._pause_daemon,
            'daemon-stop': self._stop_daemon,
            'upstream-kill': self._kill_upstream,
            'upstream-pause': self._pause_upstream,
            'upstream-drain': self._drain_upstream,
            'upstream-fault': self._fault_upstream,
            'upstream-crash': self._crash_upstream,
            'link-cut': self._cut_link,
            'link-silence': self._silence_link,
            'log-kill': self._kill_log,
            'log-fault': self._fault_log,
            'bundle-race': self._race,
        }

    def _inject(self) -> None:
        """Start a drawn fault, or the first one that is possible now."""
        starters = self._starters()
        kinds = list(self._kinds)
        self._rng.shuffle(kinds)
        for kind in kinds:
            if starters[kind]():
                return

    def _guarded(self, action: Callable[[], object]) -> None:
        try:
            action()
        except (OSError, LaunchError) as error:
            self.errors.append(str(error))

    def _after(self, delay_s: float, action: Callable[[], object]) -> None:
        self._count += 1
        due_s = time.monotonic() + delay_s
        heapq.heappush(self._later, (due_s, self._count, action))

    def _run_later(self) -> None:
        while self._later and self._later[0][0] <= time.monotonic():
            self._guarded(heapq.heappop(self._later)[2])

    def _begin(self, kind: str, target: str) -> None:
        self._disturbed[target] = _Open(kind, target, time.monotonic())

    def _end(self, target: str) -> None:
        found = self._disturbed.pop(target)
        self.faults.append(Fault(*_fields(found), time.monotonic()))

    def open_faults(self) -> Iterator[Fault]:
        """Yield faults that have not ended."""
        for found in self._disturbed.values():
            yield Fault(*_fields(found), time.monotonic())

    def _pick(self, names: list[str], at_once: int) -> str:
        """Return an undisturbed name, or nothing if enough are disturbed."""
        free = [name for name in names if name not in self._disturbed]
        if len(names) - len(free) >= at_once:
            return ''
        return self._rng.choice(free)

    def _daemon(self) -> str:
        names = [one.name for one in self._fleet.layout.daemons]
        return self._pick(names, DAEMONS_AT_ONCE)

    def _upstream(self) -> str:
        names = [one.name for one in self._fleet.layout.upstreams]
        return self._pick(names, UPSTREAMS_AT_ONCE)

    def _kill_daemon(self) -> bool:
        return self._kill('daemon-kill', self._daemon())

    def _kill_upstream(self) -> bool:
        return self._kill('upstream-kill', self._upstream())

    def _kill_log(self) -> bool:
        return self._kill('log-kill', self._pick(['log'], 1))

    def _kill(self, kind: str, name: str) -> bool:
        if not name:
            return False
        self._begin(kind, name)
        self._fleet.processes.kill(name)
        delay_s = self._rng.uniform(0.3, 4)
        self._after(delay_s, partial(self._restart, name))
        return True

    def _restart(self, name: str) -> None:
        if name == 'log':
            self._fleet.start_log()
        elif name in {one.name for one in self._fleet.layout.daemons}:
            self._fleet.start_daemon(name)
        else:
            self._fleet.start_upstream(name)
        # A started process needs a while until it listens again.
        self._after(RESTART_S, partial(self._end, name))

    def _pause_daemon(self) -> bool:
        return self._pause('daemon-pause', self._daemon())

    def _pause_upstream(self) -> bool:
        return self._pause('upstream-pause', self._upstream())

    def _pause(self, kind: str, name: str) -> bool:
        if not name:
            return False
        self._begin(kind, name)
        self._fleet.processes.pause(name)
        self._after(
            self._rng.uniform(0.2, PAUSE_LIMIT_S), partial(self._resume, name)
        )
        return True

    def _resume(self, name: str) -> None:
        self._fleet.processes.resume(name)
        self._end(name)

    def _stop_daemon(self) -> bool:
        return self._terminate('daemon-stop', self._daemon())

    def _drain_upstream(self) -> bool:
        return self._terminate('upstream-drain', self._upstream())

    def _terminate(self, kind: str, name: str) -> bool:
        if not name:
            return False
        self._begin(kind, name)
        self._fleet.processes.terminate(name)
        self._after(0.2, partial(self._await_end, name))
        return True

    def _await_end(self, name: str) -> None:
        if self._fleet.processes.is_running(name):
            self._after(0.2, partial(self._await_end, name))
        else:
            self._restart(name)

    def _fault_upstream(self) -> bool:
        name = self._upstream()
        if not name:
            return False
        kind, order = self._rng.choice(UPSTREAM_FAULTS)
        self._begin(f'upstream-{kind}', name)
        self._after(self._rng.uniform(1, 6), partial(self._heal, name))
        self._fleet.set_fault(name, health='healthy', **order)
        return True

    def _heal(self, name: str) -> None:
        self._end(name)
        self._fleet.set_fault(name)

    def _crash_upstream(self) -> bool:
        """Crash on the next write whose tag ends with a drawn digit."""
        name = self._upstream()
        if not name:
            return False
        self._begin('upstream-crash', name)
        digit = self._rng.randrange(10)
        self._after(3, partial(self._end_crash, name))
        self._fleet.set_fault(name, crash_body=f'{digit}x')
        return True

    def _end_crash(self, name: str) -> None:
        if self._fleet.processes.is_running(name):
            self._heal(name)
        else:
            self._restart(name)

    def _cut_link(self) -> bool:
        relay = self._pick(list(self._fleet.relays), 2)
        if not relay:
            return False
        self._begin('link-cut', relay)
        cut = self._rng.choice(('forward', 'backward', 'both'))
        self._after(self._rng.uniform(0.3, 6), partial(self._mend, relay))
        self._fleet.set_link(relay, cut=cut)
        return True

    def _silence_link(self) -> bool:
        relay = self._pick(list(self._fleet.relays), 2)
        if not relay:
            return False
        self._begin('link-silence', relay)
        self._after(2, partial(self._end, relay))
        self._fleet.set_link(relay, silence=-1)
        return True

    def _mend(self, relay: str) -> None:
        self._end(relay)
        self._fleet.set_link(relay)

    def _fault_log(self) -> bool:
        if not self._pick(['log'], 1):
            return False
        kind, order = self._rng.choice(LOG_FAULTS)
        self._begin(f'log-{kind}', 'log')
        url = f'{self._fleet.layout.log_url}/_fault'
        self._after(self._rng.uniform(1, 8), partial(self._heal_log, url))
        fetch(url, order)
        return True

    def _heal_log(self, url: str) -> None:
        self._end('log')
        fetch(url, {})

    def _race(self) -> bool:
        """Let both operators publish the same version with other texts."""
        if 'log' in self._disturbed:
            return False
        version = self._version + 1
        text = self._fleet.layout.deployment.bundle_path.read_text()
        text = text.replace('version = 1\n', f'version = {version}\n')
        text = text.replace('follows = 0\n', f'follows = {self._version}\n')
        operators = [OPERATOR, SECOND_OPERATOR]
        self._rng.shuffle(operators)
        url = f'{self._fleet.layout.log_url}/streams/{_BUNDLES}'
        self._begin('bundle-race', _BUNDLES)
        for place, operator in enumerate(operators):
            changed = text.replace(
                'retries_pct = 10', f'retries_pct = {10 + place}'
            )
            fetch(url, raw=self._fleet.sign(changed, operator))
        self._version = version
        self.races.append((version, time.monotonic()))
        self._end(_BUNDLES)
        return True


def _fields(found: _Open) -> tuple[str, str, float]:
    return found.kind, found.target, found.since_s
