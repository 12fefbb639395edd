"""Disturbances of healthy services, for the false-ejection experiment.

They are bursts, overload of all upstreams, cold starts and 200 ms pauses of a
daemon or of an upstream. ``Trial`` adds false reports of the health probes.
"""

from collections.abc import Callable
from random import Random

from .messages import UpstreamState
from .trials import SERVICE, Egress, Trial
from .healthstates import HealthTracker

Action = Callable[[], None]

PAUSE_S = 0.2
#: Share of pauses that stop the daemon; the others stop an upstream.
DAEMON_PAUSE_SHARE = 0.5
#: Mean times between disturbances; pauses are counted for each egress daemon.
PAUSE_EVERY_S = 10
BURST_EVERY_S = 60
COLD_EVERY_S = 120
OVERLOAD_EVERY_S = 300
#: Length of a burst, and its multiple of the request rate.
BURST_S = 2
BURST_FACTOR = 4
#: An overload multiplies the request rate at once and the service times in
#: ``OVERLOAD_STEPS`` equal factors, one every ``OVERLOAD_STEP_S``.
OVERLOAD_S = 20
OVERLOAD_SLOWDOWN = 3
OVERLOAD_RATE_FACTOR = 3
OVERLOAD_STEPS = 10
OVERLOAD_STEP_S = 0.5
#: A restarted upstream announces itself as cold for this time; its service
#: times are back to normal only after 16 s.
COLD_S = 5


class Disturber:
    """Schedules the disturbances of one run at random times."""

    def __init__(self, trial: Trial) -> None:
        """Schedule the first disturbance of each kind."""
        self._trial = trial
        self._rng = Random(f'disturbances {trial.setup.seed}')
        self._egresses = list(trial.egresses.values())
        for every_s, action in (
            (PAUSE_EVERY_S / len(self._egresses), self._pause),
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
        egress = self._rng.choice(self._egresses)
        until_s = self._trial.now_s + PAUSE_S
        if self._rng.random() < DAEMON_PAUSE_SHARE:
            egress.stalled_until_s = until_s
            return
        egress.fake.paused_until_s = until_s
        for call in egress.calls:
            call.paused_s += PAUSE_S

    def _burst(self) -> None:
        self._trial.rate_factor *= BURST_FACTOR
        self._trial.after(BURST_S, self._reduce_rate, BURST_FACTOR)

    def _reduce_rate(self, factor: float) -> None:
        self._trial.rate_factor /= factor

    def _overload(self) -> None:
        self._trial.rate_factor *= OVERLOAD_RATE_FACTOR
        self._trial.after(OVERLOAD_S, self._reduce_rate, OVERLOAD_RATE_FACTOR)
        factor = OVERLOAD_SLOWDOWN ** (1 / OVERLOAD_STEPS)
        for step in range(OVERLOAD_STEPS):
            step_start_s = step * OVERLOAD_STEP_S
            self._trial.after(step_start_s, self._multiply_slowdown, factor)
            self._trial.after(
                step_start_s + OVERLOAD_S, self._multiply_slowdown, 1 / factor
            )

    def _multiply_slowdown(self, factor: float) -> None:
        self._trial.slowdown *= factor

    def _restart(self) -> None:
        egress = self._rng.choice(self._egresses)
        egress.fake.cold_start_s = self._trial.now_s
        self._announce_state(egress, UpstreamState.cold)
        self._trial.after(
            COLD_S, self._announce_state, egress, UpstreamState.serving
        )

    def _announce_state(self, egress: Egress, state: UpstreamState) -> None:
        if not isinstance(egress.policy, HealthTracker):
            return
        now = self._trial.now()
        changes = egress.policy.announced(
            egress.upstream, SERVICE, egress.slots, state, now
        )
        self._trial.announce(egress, changes)
