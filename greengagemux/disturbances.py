"""Disturbances of healthy services, for the false-ejection experiment.

Bursts, overload of all upstreams, cold starts, pauses of 200 ms of a daemon
or of an upstream, and probes that report healthy upstreams as sick.
"""

from collections.abc import Callable
from random import Random

from .messages import UpstreamState
from .trials import SERVICE, Egress, Trial
from .healthstates import HealthTracker

Action = Callable[[], None]

PAUSE_S = 0.2
#: Share of pauses that stop the daemon; the others stop an upstream.
STALL_SHARE = 0.5
#: Mean times between disturbances.
PAUSE_EVERY_S = 10
BURST_EVERY_S = 60
COLD_EVERY_S = 120
OVERLOAD_EVERY_S = 300
BURST_S = 2
BURST_FACTOR = 4
OVERLOAD_S = 20
OVERLOAD_SLOW = 3
OVERLOAD_RATE = 3
OVERLOAD_STEPS = 10
OVERLOAD_STEP_S = 0.5
#: A restarted upstream calls itself cold for this time; it warms up in 16 s.
COLD_S = 5


class Disturber:
    """Schedules disturbances of one run."""

    def __init__(self, trial: Trial) -> None:
        """Schedule the first disturbance of each kind."""
        self._trial = trial
        self._rng = Random(f'disturbances {trial.setup.seed}')
        self._hops = list(trial.hops.values())
        for every_s, action in (
            (PAUSE_EVERY_S / len(self._hops), self._pause),
            (BURST_EVERY_S, self._burst),
            (COLD_EVERY_S, self._restart),
            (OVERLOAD_EVERY_S, self._overload),
        ):
            self._repeat(every_s, action)

    def _repeat(self, every_s: float, action: Action) -> None:
        wait_s = self._rng.expovariate(1 / every_s)
        self._trial.after(wait_s, self._occur, every_s, action)

    def _occur(self, every_s: float, action: Action) -> None:
        action()
        self._repeat(every_s, action)

    def _pause(self) -> None:
        hop = self._rng.choice(self._hops)
        until_s = self._trial.now_s + PAUSE_S
        if self._rng.random() < STALL_SHARE:
            hop.stalled_s = until_s
            return
        hop.fake.paused_s = until_s
        for call in hop.calls:
            call.paused_s += PAUSE_S

    def _burst(self) -> None:
        self._trial.rate_factor *= BURST_FACTOR
        self._trial.after(BURST_S, self._calm, BURST_FACTOR)

    def _calm(self, factor: float) -> None:
        self._trial.rate_factor /= factor

    def _overload(self) -> None:
        self._trial.rate_factor *= OVERLOAD_RATE
        self._trial.after(OVERLOAD_S, self._calm, OVERLOAD_RATE)
        factor = OVERLOAD_SLOW ** (1 / OVERLOAD_STEPS)
        for step in range(OVERLOAD_STEPS):
            rise_s = step * OVERLOAD_STEP_S
            self._trial.after(rise_s, self._slow_all, factor)
            self._trial.after(rise_s + OVERLOAD_S, self._slow_all, 1 / factor)

    def _slow_all(self, factor: float) -> None:
        self._trial.slow_all *= factor

    def _restart(self) -> None:
        hop = self._rng.choice(self._hops)
        hop.fake.cold_s = self._trial.now_s
        self._say(hop, UpstreamState.cold)
        self._trial.after(COLD_S, self._say, hop, UpstreamState.serving)

    def _say(self, hop: Egress, state: UpstreamState) -> None:
        if not isinstance(hop.policy, HealthTracker):
            return
        now = self._trial.now()
        changes = hop.policy.announced(
            hop.upstream, SERVICE, hop.slots, state, now
        )
        self._trial.announce(hop, changes)
