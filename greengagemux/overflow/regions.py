"""Regions without a free slot, which are skipped for a short time.

Addresses an overload in several regions: without this memory each request
would cost messages between regions. Holds no transport.
"""

from collections.abc import Container
from dataclasses import dataclass
from datetime import timedelta
from typing import Final

from ..ids import Region, ServiceName

#: Time for which a region is skipped after a refusal; a slot becomes free
#: within about a service time.
FIRST_PAUSE: Final = timedelta(milliseconds=200)
#: Longest such time; it doubles with each refusal at the end of a pause.
LONGEST_PAUSE: Final = FIRST_PAUSE * 8


@dataclass(slots=True)
class _Pause:
    length: timedelta
    until: timedelta


class FullRegions:
    """Regions that had no free slot for a service."""

    def __init__(self) -> None:
        """Start with no region skipped."""
        self._pauses: dict[tuple[ServiceName, Region], _Pause] = {}

    def is_skipped(
        self, service: ServiceName, region: Region, now: timedelta
    ) -> bool:
        """Return whether a region is not tried for a service now."""
        pause = self._pauses.get((service, region))
        return pause is not None and now < pause.until

    def refused(
        self, service: ServiceName, region: Region, now: timedelta
    ) -> None:
        """Skip a region in which an upstream had no free slot.

        A refusal during the pause belongs to a try that was sent before it.
        """
        pause = self._pauses.get((service, region))
        length = FIRST_PAUSE
        if pause is not None:
            if now < pause.until:
                return
            if now - pause.until < pause.length:
                length = min(pause.length * 2, LONGEST_PAUSE)
        self._pauses[service, region] = _Pause(length, now + length)

    def lost(
        self, service: ServiceName, region: Region, now: timedelta
    ) -> None:
        """Skip a region to which a stream was lost."""
        pause = _Pause(LONGEST_PAUSE, now + LONGEST_PAUSE)
        self._pauses[service, region] = pause

    def found(self, service: ServiceName, region: Region) -> None:
        """Stop skipping a region in which a slot was free."""
        self._pauses.pop((service, region), None)

    def keep(self, services: Container[ServiceName]) -> None:
        """Forget the pauses of all other services."""
        for service, region in tuple(self._pauses):
            if service not in services:
                self._pauses.pop((service, region))
