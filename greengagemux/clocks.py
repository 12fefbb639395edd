"""Clocks of wall time and monotonic time, and conversions to ms."""

import time
from datetime import UTC, datetime, timedelta
from typing import Protocol

ZERO = timedelta()
MILLISECOND = timedelta(milliseconds=1)


class Clock(Protocol):
    """Source of wall time and of monotonic time."""

    def wall(self) -> datetime:
        """Return the aware UTC wall time."""

    def monotonic(self) -> timedelta:
        """Return the time since an arbitrary origin; it never goes back."""


class SystemClock:
    """Clock of this host."""

    def wall(self) -> datetime:
        """Return the aware UTC wall time."""
        return datetime.now(UTC)

    def monotonic(self) -> timedelta:
        """Return the time since an arbitrary origin; it never goes back."""
        return timedelta(seconds=time.monotonic())


class ManualClock:
    """Clock that only ``advance`` moves; for tests and experiments."""

    def __init__(self, wall: datetime | None = None) -> None:
        """Start at ``wall``, by default at 2026-01-01 00:00 UTC."""
        self._origin = wall or datetime(2026, 1, 1, tzinfo=UTC)
        self._elapsed = ZERO

    def wall(self) -> datetime:
        """Return the aware UTC wall time."""
        return self._origin + self._elapsed

    def monotonic(self) -> timedelta:
        """Return the time since construction."""
        return self._elapsed

    def advance(self, step: timedelta) -> None:
        """Move the clock forward.

        Raises ``ValueError`` when ``step`` is negative.
        """
        if step < ZERO:
            raise ValueError('a monotonic clock cannot go back')
        self._elapsed += step


def ms(amount: float) -> timedelta:
    """Return a duration given in milliseconds."""
    return timedelta(milliseconds=amount)


def in_ms(duration: timedelta) -> float:
    """Return a duration as a number of milliseconds."""
    return duration / MILLISECOND
