"""Decides whether a request gets a second attempt now."""

from dataclasses import dataclass
from datetime import timedelta
from enum import Enum


class Verdict(Enum):
    """Result of a decision, with the reason against a second attempt."""

    start = 'start'
    #: The first attempt isn't slow yet.
    early = 'early'
    #: The time left does not allow the usual time of the route.
    late = 'late'
    overloaded = 'overloaded'
    #: The limit of extra attempts is used up.
    limit = 'limit'
    #: The rest of the retry budget is kept for failures.
    retry_budget = 'retry-budget'


@dataclass(frozen=True, slots=True)
class Situation:
    """What is known of a request with one running attempt.

    ``left`` is the time until its deadline, ``usual`` the usual time of its
    route, zero if it is unknown.
    """

    age: timedelta
    delay: timedelta
    left: timedelta
    usual: timedelta
    overloaded: bool
    within_limit: bool
    has_spare_retry: bool


def decide(situation: Situation) -> Verdict:
    """Return whether a second attempt starts.

    The limit comes after everything that depends on the request, so that a
    refusal for the limit tells that the limit alone was in the way.
    """
    if situation.age < situation.delay:
        return Verdict.early
    if situation.left < situation.usual:
        return Verdict.late
    if situation.overloaded:
        return Verdict.overloaded
    if not situation.has_spare_retry:
        return Verdict.retry_budget
    if not situation.within_limit:
        return Verdict.limit
    return Verdict.start
