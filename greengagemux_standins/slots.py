"""Slots, queue and service times of an upstream stand-in."""

import random
from collections import deque
from collections.abc import Callable
from dataclasses import dataclass, field
from enum import Enum

from .ledgers import Ledger, WorkKey
from .servers import Scheduler, TimedCall

MS_PER_SECOND = 1000


@dataclass(frozen=True, slots=True)
class Capacity:
    """Capacity of an upstream.

    A service time is log-normal about ``median_ms`` with ``sigma`` as the
    standard deviation of its logarithm. While cold, it is multiplied by a
    factor that falls from ``cold_factor`` to 1 over ``cold_ms``.
    """

    slots: int = 4
    median_ms: float = 20
    sigma: float = 0.3
    queue_limit: int = 64
    cold_ms: float = 0
    cold_factor: float = 4
    seed: int = 0


class End(Enum):
    """How a job ended."""

    finished = 'finished'
    expired = 'expired'
    cancelled = 'cancelled'


@dataclass(eq=False, slots=True)
class Job:
    """One request; ``ended`` is called once, unless it is shed."""

    key: WorkKey
    ended: Callable[['Job', End], None]
    seed: str = ''
    factor: float = 1
    deadline_ms: float | None = None
    started: bool = False
    timer: TimedCall | None = field(default=None, repr=False)
    expiry: TimedCall | None = field(default=None, repr=False)


class SlotPool:
    """Runs jobs in a fixed number of slots, in order of arrival."""

    def __init__(
        self, capacity: Capacity, ledger: Ledger, scheduler: Scheduler
    ) -> None:
        """Start cold."""
        self._capacity = capacity
        self._ledger = ledger
        self._scheduler = scheduler
        self._rng = random.Random(capacity.seed)
        self._queue: deque[Job] = deque()
        self._running: set[Job] = set()
        self._warm_at = scheduler.seconds() + capacity.cold_ms / MS_PER_SECOND
        self._resume_at = scheduler.seconds()
        self._debt_ms = float()
        self._hanging = False
        self.slow = float(1)

    @property
    def running(self) -> int:
        """Number of jobs that hold a slot."""
        return len(self._running)

    @property
    def queued(self) -> int:
        """Number of jobs that wait."""
        return len(self._queue)

    @property
    def idle(self) -> bool:
        """Whether no job runs or waits."""
        return not (self._running or self._queue)

    @property
    def cold(self) -> bool:
        """Whether service times are still longer because of a cold start."""
        return self._scheduler.seconds() < self._warm_at

    @property
    def pause_left(self) -> float:
        """Seconds until a pause ends; 0 when there is none."""
        return max(0, self._resume_at - self._scheduler.seconds())

    def offer(self, job: Job) -> bool:
        """Take a job, or return false when the queue is full."""
        if job.deadline_ms is not None:
            job.expiry = self._scheduler.callLater(
                job.deadline_ms / MS_PER_SECOND, self._expire, job
            )
        if len(self._running) < self._capacity.slots:
            self._start(job)
            return True
        if len(self._queue) >= self._capacity.queue_limit:
            _cancel(job.expiry)
            self._ledger.shed += 1
            return False
        self._queue.append(job)
        return True

    def cancel(self, job: Job) -> None:
        """Stop a job; nothing happens if it has ended."""
        self._end(job, End.cancelled)

    def cancel_all(self) -> None:
        """Stop all jobs."""
        for job in (*self._queue, *self._running):
            self.cancel(job)

    def charge(self, cost_ms: float) -> None:
        """Add the cost of a probe or connection to the next job."""
        self._debt_ms += cost_ms

    def hang(self, hanging: bool) -> None:
        """Let no job finish, or let hung jobs go on."""
        was_hanging = self._hanging
        self._hanging = hanging
        if hanging:
            for running in self._running:
                _cancel(running.timer)
                running.timer = None
        elif was_hanging:
            for job in self._running:
                self._schedule(job)

    def pause(self, pause_ms: float) -> None:
        """Make no progress for a time."""
        resume_at = self._scheduler.seconds() + pause_ms / MS_PER_SECOND
        self._resume_at = max(self._resume_at, resume_at)

    def service_ms(self, job: Job) -> float:
        """Draw the service time of a job.

        Jobs with the same seed have the same service time on all upstreams
        of equal capacity, so that two paths can be compared pair by pair.
        """
        rng = random.Random(job.seed) if job.seed else self._rng
        spread = rng.lognormvariate(0, self._capacity.sigma)
        drawn_ms = self._capacity.median_ms * spread
        return drawn_ms * job.factor * self.slow * self._cold_factor()

    def _cold_factor(self) -> float:
        left_s = self._warm_at - self._scheduler.seconds()
        if left_s <= 0:
            return 1
        share = left_s * MS_PER_SECOND / self._capacity.cold_ms
        return 1 + (self._capacity.cold_factor - 1) * share

    def _start(self, job: Job) -> None:
        job.started = True
        self._running.add(job)
        self._ledger.start(job.key)
        self._schedule(job)

    def _schedule(self, job: Job) -> None:
        if self._hanging:
            return
        debt_ms = self._debt_ms
        self._debt_ms = float()
        delay = (self.service_ms(job) + debt_ms) / MS_PER_SECOND
        job.timer = self._scheduler.callLater(
            delay + self.pause_left, self._finish, job
        )

    def _finish(self, job: Job) -> None:
        if self.pause_left:
            job.timer = self._scheduler.callLater(
                self.pause_left, self._finish, job
            )
            return
        self._end(job, End.finished)

    def _expire(self, job: Job) -> None:
        self._end(job, End.expired)

    def _end(self, job: Job, end: End) -> None:
        if job in self._running:
            self._running.remove(job)
            count = (
                self._ledger.finish
                if end is End.finished
                else self._ledger.stop
            )
            count(job.key)
        elif job in self._queue:
            self._queue.remove(job)
        else:
            return
        _cancel(job.timer)
        _cancel(job.expiry)
        self._fill()
        job.ended(job, end)

    def _fill(self) -> None:
        while self._queue and len(self._running) < self._capacity.slots:
            self._start(self._queue.popleft())


def _cancel(timer: TimedCall | None) -> None:
    if timer is not None and timer.active():
        timer.cancel()
