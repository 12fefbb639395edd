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

    Service times are log-normal with the median ``median_ms``; ``sigma`` is
    the standard deviation of their logarithm. After a cold start they are
    multiplied by a factor that falls linearly from ``cold_factor`` to 1
    within ``cold_ms``.
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
    """One request; ``on_end`` is called once, unless the job is shed.

    ``factor`` multiplies the service time; ``seed`` determines its draw.
    """

    key: WorkKey
    on_end: Callable[['Job', End], None]
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
        """Begin a cold start."""
        self._capacity = capacity
        self._ledger = ledger
        self._scheduler = scheduler
        self._rng = random.Random(capacity.seed)
        self._queue: deque[Job] = deque()
        self._running: set[Job] = set()
        self._warm_at = scheduler.seconds() + capacity.cold_ms / MS_PER_SECOND
        self._resume_at = scheduler.seconds()
        self._pending_cost_ms = float()
        self._hanging = False
        self.slow = float(1)

    @property
    def running(self) -> int:
        """Number of jobs that occupy a slot."""
        return len(self._running)

    @property
    def queued(self) -> int:
        """Number of jobs that wait for a slot."""
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
    def pause_remaining_s(self) -> float:
        """Seconds until a pause ends; 0 when there is none."""
        return max(0, self._resume_at - self._scheduler.seconds())

    def offer(self, job: Job) -> bool:
        """Start or queue a job; return false when the queue is full."""
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
        """Stop a job; does nothing if it has already ended."""
        self._end(job, End.cancelled)

    def cancel_all(self) -> None:
        """Stop all jobs."""
        for job in (*self._queue, *self._running):
            self.cancel(job)

    def charge(self, cost_ms: float) -> None:
        """Add the cost of a probe or connection to the next service time."""
        self._pending_cost_ms += cost_ms

    def hang(self, hanging: bool) -> None:
        """Stop all jobs from finishing, or restart the hung ones.

        A restarted job gets a new, full service time.
        """
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
        """Finish no job for ``pause_ms`` from now."""
        resume_at = self._scheduler.seconds() + pause_ms / MS_PER_SECOND
        self._resume_at = max(self._resume_at, resume_at)

    def service_ms(self, job: Job) -> float:
        """Draw the service time of a job, in milliseconds.

        Jobs with the same seed have the same service time on all upstreams
        of equal capacity, so that the latencies of two paths can be compared
        request by request.
        """
        rng = random.Random(job.seed) if job.seed else self._rng
        spread = rng.lognormvariate(0, self._capacity.sigma)
        drawn_ms = self._capacity.median_ms * spread
        return drawn_ms * job.factor * self.slow * self._cold_factor()

    def _cold_factor(self) -> float:
        remaining_s = self._warm_at - self._scheduler.seconds()
        if remaining_s <= 0:
            return 1
        share = remaining_s * MS_PER_SECOND / self._capacity.cold_ms
        return 1 + (self._capacity.cold_factor - 1) * share

    def _start(self, job: Job) -> None:
        job.started = True
        self._running.add(job)
        self._ledger.start(job.key)
        self._schedule(job)

    def _schedule(self, job: Job) -> None:
        if self._hanging:
            return
        pending_cost_ms = self._pending_cost_ms
        self._pending_cost_ms = float()
        delay = (self.service_ms(job) + pending_cost_ms) / MS_PER_SECOND
        job.timer = self._scheduler.callLater(
            delay + self.pause_remaining_s, self._finish, job
        )

    def _finish(self, job: Job) -> None:
        if self.pause_remaining_s:
            job.timer = self._scheduler.callLater(
                self.pause_remaining_s, self._finish, job
            )
            return
        self._end(job, End.finished)

    def _expire(self, job: Job) -> None:
        self._end(job, End.expired)

    def _end(self, job: Job, end: End) -> None:
        if job in self._running:
            self._running.remove(job)
            record_end = (
                self._ledger.finish
                if end is End.finished
                else self._ledger.stop
            )
            record_end(job.key)
        elif job in self._queue:
            self._queue.remove(job)
        else:
            return
        _cancel(job.timer)
        _cancel(job.expiry)
        self._start_queued()
        job.on_end(job, end)

    def _start_queued(self) -> None:
        while self._queue and len(self._running) < self._capacity.slots:
            self._start(self._queue.popleft())


def _cancel(timer: TimedCall | None) -> None:
    if timer is not None and timer.active():
        timer.cancel()
