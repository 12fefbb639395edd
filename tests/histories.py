"""Random sequences of requests and faults, replayed on a fake fleet.

Each sequence (a history) depends on its seed only. After the replay every
invariant in ``invariants`` is checked.
"""

from collections.abc import Callable
from dataclasses import dataclass
from datetime import timedelta
from random import Random

from fakes_fleet import BUNDLE, TERMS, FakeUpstream, started
from invariants import (
    bundles_stay,
    capacity_floor,
    graceful_stops,
    leaving_upstreams,
    prompt_answers,
    single_writes,
    true_not_run,
    whole_answers,
)

from greengagemux.events import StopRequested

DAEMON_COUNT = 4
INVARIANTS = (
    whole_answers,
    prompt_answers,
    true_not_run,
    single_writes,
    leaving_upstreams,
    graceful_stops,
    bundles_stay,
)


@dataclass(frozen=True)
class Step:
    """One action and the time that passes after it.

    ``first`` and ``second`` are random numbers. Each action derives from them
    the daemons or upstreams that it affects, and its parameters.
    """

    action: str
    first: int
    second: int
    wait_ms: int


class History:
    """Replays steps on a fleet and collects violations of the invariants."""

    def __init__(self, seed: int = 1) -> None:
        self.fleet = started(DAEMON_COUNT, seed, upstreams=2)
        self.violations: list[str] = []
        self.request_count = 0
        self.version = 1
        self.keyed_writes: list[tuple[bytes, timedelta]] = []

    def play(self, steps: list[Step]) -> list[str]:
        """Replay all steps; return the violations as lines of text.

        Pauses, cuts and stalls end before the invariants are checked.
        """
        for step in steps:
            ACTIONS[step.action](self, step)
            self.advance(step.wait_ms)
        self.settle()
        for module in INVARIANTS:
            name = module.__name__.rpartition('.')[2]
            self.violations += [
                f'{name}: {line}' for line in module.check(self.fleet)
            ]
        return self.violations

    def advance(self, wait_ms: int) -> None:
        """Let time pass, then check the capacity floor at each live daemon."""
        self.fleet.run(wait_ms)
        for node in self.fleet.nodes.values():
            if node.alive:
                self.violations += [
                    f'capacity_floor: {line}'
                    for line in capacity_floor.floor_violations(node.daemon)
                ]

    def settle(self) -> None:
        """End pauses, cuts and stalls; wait until every deadline has passed."""
        for name, node in self.fleet.nodes.items():
            if node.paused:
                self.fleet.resume(name)
        self.fleet.heal()
        self.fleet.release()
        self.advance(4000)

    def daemon_name(self, index: int) -> str:
        """Return the name of the daemon that a random number selects."""
        return f'd{index % DAEMON_COUNT}'


def _ask_reads(history: History, step: Step) -> None:
    for turn in range(1 + step.second % 6):
        _ask(history, step.first + turn, b'read', b'/stock/1')


def _ask_writes(history: History, step: Step) -> None:
    for turn in range(1 + step.second % 6):
        _ask(history, step.first + turn, b'write', b'/intake/1')


def _ask_keyed(history: History, step: Step) -> None:
    """Send a new keyed write to one daemon."""
    history.request_count += 1
    tag = b'write-keyed%d' % history.request_count
    history.keyed_writes.append((tag, history.fleet.now))
    _ask_key(history, step.first, tag)


def _repeat(history: History, step: Step) -> None:
    """Send earlier keyed writes again, each within its key window."""
    oldest = history.fleet.now - TERMS.key_window
    usable = [tag for tag, first in history.keyed_writes if first > oldest]
    for turn, tag in enumerate(usable[-1 - step.second % 6 :]):
        _ask_key(history, step.first + turn, tag)


def _ask_key(history: History, index: int, tag: bytes) -> None:
    name = history.daemon_name(index)
    if history.fleet.nodes[name].alive:
        history.fleet.ask(name, tag, b'/intake/1', key=tag)


def _ask(history: History, index: int, kind: bytes, path: bytes) -> None:
    name = history.daemon_name(index)
    if history.fleet.nodes[name].alive:
        history.request_count += 1
        history.fleet.ask(name, b'%b%d' % (kind, history.request_count), path)


def _kill(history: History, step: Step) -> None:
    history.fleet.kill(history.daemon_name(step.first))


def _restart(history: History, step: Step) -> None:
    node = history.fleet.nodes[history.daemon_name(step.first)]
    if not node.alive:
        node.start()


def _stop(history: History, step: Step) -> None:
    history.fleet.nodes[history.daemon_name(step.first)].submit(StopRequested())


def _pause(history: History, step: Step) -> None:
    history.fleet.pause(history.daemon_name(step.first))


def _wake(history: History, step: Step) -> None:
    name = history.daemon_name(step.first)
    if history.fleet.nodes[name].paused:
        history.fleet.resume(name)


def _cut(history: History, step: Step) -> None:
    first = history.daemon_name(step.first)
    second = history.daemon_name(step.second)
    if first != second:
        history.fleet.cut(first, second)


def _heal(history: History, step: Step) -> None:
    history.fleet.heal()


def _silence(history: History, step: Step) -> None:
    first = history.daemon_name(step.first)
    second = history.daemon_name(step.second)
    history.fleet.silence(first, second)


def _stick(history: History, step: Step) -> None:
    """Stall the open streams between two daemons."""
    first = history.daemon_name(step.first)
    second = history.daemon_name(step.second)
    history.fleet.stall(first, second)


def _release(history: History, step: Step) -> None:
    """End the stall of all streams."""
    history.fleet.release()


def _log(history: History, step: Step) -> None:
    """Start or end an outage of the log and the loss of its replies."""
    history.fleet.log_down = step.first % 2 == 0
    history.fleet.lose_append_replies = step.second % 2 == 0


def _publish(history: History, step: Step) -> None:
    """Publish two bundles of the same version at once.

    They follow the newest version or the one before it.
    """
    follows = max(1, history.version - step.first % 2)
    for retries in (step.first % 50, step.second % 50):
        text = BUNDLE.replace('version = 1', f'version = {follows + 1}')
        text = text.replace('follows = 0', f'follows = {follows}')
        text = text.replace('[service', f'retries_pct = {retries}\n[service')
        history.fleet.publish(text)
    history.version = max(history.version, follows + 1)


def _sicken(history: History, step: Step) -> None:
    """Give an upstream one gray failure, or make it healthy again."""
    upstream = _upstream(history, step)
    upstream.hang = step.second % 5 == 0
    upstream.wrong = step.second % 5 == 1
    upstream.status = 500 if step.second % 5 == 2 else 200
    upstream.service_ms = 200 if step.second % 5 == 3 else 5


def _crash(history: History, step: Step) -> None:
    upstream = _upstream(history, step)
    for node in history.fleet.nodes.values():
        if upstream.name in node.upstreams and node.alive:
            history.fleet.crash(node, upstream)


def _revive(history: History, step: Step) -> None:
    _upstream(history, step).dead = False


def _drain(history: History, step: Step) -> None:
    upstream = _upstream(history, step)
    if upstream.draining:
        history.fleet.cancel_drain(upstream)
    else:
        history.fleet.drain(upstream)


def _upstream(history: History, step: Step) -> FakeUpstream:
    upstreams = history.fleet.upstreams
    return upstreams[step.first % len(upstreams)]


ACTIONS: dict[str, Callable[[History, Step], None]] = {
    'ask-reads': _ask_reads,
    'ask-writes': _ask_writes,
    'ask-keyed': _ask_keyed,
    'repeat': _repeat,
    'kill': _kill,
    'restart': _restart,
    'stop': _stop,
    'pause': _pause,
    'wake': _wake,
    'cut': _cut,
    'heal': _heal,
    'silence': _silence,
    'stick': _stick,
    'release': _release,
    'log': _log,
    'publish': _publish,
    'sicken': _sicken,
    'crash': _crash,
    'revive': _revive,
    'drain': _drain,
}

#: Relative frequency of actions, 1 for all others. Requests are frequent, so
#: that every fault occurs while some are in flight.
WEIGHTS = {
    'ask-reads': 8,
    'ask-writes': 10,
    'restart': 3,
    'heal': 3,
    'stick': 2,
}


def generate_steps(rng: Random, length: int = 40) -> list[Step]:
    """Return ``length`` random steps."""
    names = list(ACTIONS)
    weights = [WEIGHTS.get(name, 1) for name in names]
    chosen = rng.choices(names, weights, k=length)
    return [
        Step(
            action,
            rng.randrange(100),
            rng.randrange(100),
            rng.choice((0, 1, 2, 5, 20, 100, 500, 1500)),
        )
        for action in chosen
    ]
