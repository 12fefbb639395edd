"""Outcomes of requests, and failures with the step that caused them."""

from dataclasses import dataclass
from enum import Enum


class Outcome(Enum):
    """Outcome of a request as reported to its caller."""

    completed = 'completed'
    not_run = 'not-run'
    unknown = 'unknown'


class Reason(Enum):
    """Machine-readable reason of an outcome other than completed."""

    bad_request = 'bad-request'
    unauthorized = 'unauthorized'
    no_route = 'no-route'
    method_not_allowed = 'method-not-allowed'
    body_too_large = 'body-too-large'
    no_bundle = 'no-bundle'
    caller_limit = 'caller-limit'
    #: The client account is beyond its allotment.
    allotment = 'allotment'
    overloaded = 'overloaded'
    deadline = 'deadline'
    no_upstream = 'no-upstream'
    sick = 'sick'
    draining = 'draining'
    crashes_upstreams = 'crashes-upstreams'
    connection_lost = 'connection-lost'
    upstream_failed = 'upstream-failed'
    answer_too_large = 'answer-too-large'
    key_conflict = 'key-conflict'
    key_in_progress = 'key-in-progress'
    key_unknown = 'key-unknown'
    no_home = 'no-home'
    stopping = 'stopping'
    late = 'late'
    region_link = 'region-link'
    busy = 'busy'
    retry_budget = 'retry-budget'
    rate_limited = 'rate-limited'
    internal_error = 'internal-error'
    #: A daemon has no room for the request.
    memory = 'memory'


class Step(Enum):
    """Processing step in which a failure arose."""

    listen = 'listen'
    route = 'route'
    choose = 'choose'
    connect = 'connect'
    frame = 'frame'
    decode = 'decode'
    dispatch = 'dispatch'
    call = 'call'
    answer = 'answer'
    log = 'log'
    bundle = 'bundle'
    settings = 'settings'


@dataclass(frozen=True, slots=True)
class Failure:
    """A failure with the step and the peer where it arose."""

    step: Step
    peer: str
    detail: str

    def __str__(self) -> str:
        """Return one line for logs and messages."""
        return f'{self.step.value} at {self.peer}: {self.detail}'


class FailureError(Exception):
    """Carries a ``Failure`` through code that raises."""

    def __init__(self, failure: Failure) -> None:
        """Keep the failure for the handler."""
        super().__init__(str(failure))
        self.failure = failure
