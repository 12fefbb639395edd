"""Verdicts where short gray episodes are common."""

from datetime import timedelta
from random import Random

import pytest
from hypothesis import given
from hypothesis import strategies as st

from greengagemux.answers import Origin
from greengagemux.bundles import Service
from greengagemux.clocks import ZERO, ms
from greengagemux.poisonrequests import PoisonRequests
from greengagemux.crashes import CrashReports
from greengagemux.detectors import Sample, SampleKind
from greengagemux.effects import AbortCall, CallUpstream, Outbox
from greengagemux.episodes import Belief, EpisodeHealthTracker, likelihood
from greengagemux.events import (
    Announced,
    CallFault,
    Probed,
    UpstreamAnswered,
    UpstreamFailed,
)
from greengagemux.ids import (
    CallerName,
    DaemonId,
    Incarnation,
    RequestId,
    RouteName,
    ServiceName,
    UpstreamId,
)
from greengagemux.egress import Egress
from greengagemux.messages import Dispatch, Priority, UpstreamState
from greengagemux.outcomes import Failure, Step
from greengagemux.paths import Paths

UPSTREAM = UpstreamId('u')
SERVICE = ServiceName('s')
GOOD = Sample(SampleKind.success, RouteName('r'), 50)
BAD = Sample(SampleKind.error, RouteName('r'), 1)


def _verdicts() -> EpisodeHealthTracker:
    health_tracker = EpisodeHealthTracker(ms(50))
    health_tracker.announced(UPSTREAM, SERVICE, 4, UpstreamState.serving, ZERO)
    return health_tracker


def _admits(health_tracker: EpisodeHealthTracker, *, idempotent: bool) -> bool:
    return health_tracker.admits(
        UPSTREAM, 0, idempotent=idempotent, forced=False
    )


def test_first_failure_keeps_writes_away() -> None:
    """A gray upstream must not take further writes while proof is sought."""
    health_tracker = _verdicts()
    for turn in range(20):
        health_tracker.observe(UPSTREAM, GOOD, ms(100 * turn))
    health_tracker.observe(UPSTREAM, BAD, ms(2100))
    assert not _admits(health_tracker, idempotent=False)
    assert _admits(health_tracker, idempotent=True)
    health_tracker.observe(UPSTREAM, BAD, ms(2200))
    assert health_tracker.state(UPSTREAM) is UpstreamState.sick
    assert not _admits(health_tracker, idempotent=True)


def test_error_after_the_usual_work_proves_little() -> None:
    """A failed call of the upstream must not take its other work away."""
    health_tracker = _verdicts()
    for turn in range(20):
        health_tracker.observe(UPSTREAM, GOOD, ms(100 * turn))
    late = Sample(SampleKind.error, RouteName('r'), 45, expected_ms=50)
    health_tracker.observe(UPSTREAM, late, ms(2100))
    assert _admits(health_tracker, idempotent=False)
    prompt = Sample(SampleKind.error, RouteName('r'), 2, expected_ms=50)
    health_tracker.observe(UPSTREAM, prompt, ms(2200))
    assert not _admits(health_tracker, idempotent=False)


def test_errors_that_peers_share_prove_nothing() -> None:
    """A failing dependency must not empty a whole service."""
    health_tracker = _verdicts()
    shared = Sample(SampleKind.error, RouteName('r'), 45, 50, peer_errors=0.4)
    for turn in range(20):
        health_tracker.observe(UPSTREAM, shared, ms(100 * turn))
    assert health_tracker.state(UPSTREAM) is UpstreamState.serving


def test_trials_are_idempotent_and_lead_back() -> None:
    """Only what may run twice is risked on an upstream in doubt."""
    health_tracker = _verdicts()
    health_tracker.observe(UPSTREAM, BAD, ZERO)
    health_tracker.tick(ms(1100))
    assert health_tracker.state(UPSTREAM) is UpstreamState.probation
    assert _admits(health_tracker, idempotent=True)
    assert not _admits(health_tracker, idempotent=False)
    for turn in range(4):
        health_tracker.observe(UPSTREAM, GOOD, ms(1200 + 100 * turn))
    assert health_tracker.state(UPSTREAM) is UpstreamState.serving


def test_crashed_upstream_is_left_alone_for_longer() -> None:
    """Trials of a process that does not listen only cost retries."""
    health_tracker = _verdicts()
    health_tracker.crashed(UPSTREAM, ZERO)
    health_tracker.tick(ms(1900))
    assert not _admits(health_tracker, idempotent=True)
    health_tracker.tick(ms(2100))
    assert _admits(health_tracker, idempotent=True)


def test_failed_trial_ejects_again() -> None:
    """An episode that goes on must not be taken for its end."""
    health_tracker = _verdicts()
    health_tracker.observe(UPSTREAM, BAD, ZERO)
    health_tracker.tick(ms(1100))
    health_tracker.observe(UPSTREAM, BAD, ms(1200))
    assert health_tracker.state(UPSTREAM) is UpstreamState.sick


@given(st.lists(st.tuples(st.booleans(), st.integers(0, 5000)), max_size=50))
def test_belief_stays_a_probability(steps: list[tuple[bool, int]]) -> None:
    """No sequence of results may lead the estimate out of its range."""
    belief = Belief()
    now = ZERO
    for failed, gap_ms in steps:
        now += timedelta(milliseconds=gap_ms)
        before = belief.gray
        belief.age(now)
        belief.observe(likelihood(BAD if failed else GOOD), now)
        assert 0 < belief.gray < 1
        if gap_ms == 0:
            assert (belief.gray > before) == failed


class _Hop:
    """A last hop with one upstream that runs one read."""

    def __init__(self) -> None:
        self.outbox = Outbox()
        rng = Random(1)
        self.poison_requests = PoisonRequests(rng)
        paths = Paths(self.outbox, rng)
        crashes = CrashReports(self.poison_requests, paths, self.outbox, rng)
        self.hop = Egress(
            DaemonId('d'), self.outbox, EpisodeHealthTracker(ms(50)), crashes
        )
        self.hop.hosted.health_apart = True
        self.announce(UpstreamState.serving, sequence=1)

    def announce(self, state: UpstreamState, **fields: int) -> None:
        """Let the upstream announce itself."""
        event = Announced(UPSTREAM, SERVICE, 'a:1', 1, state, boot=7, **fields)
        self.hop.announce(event, ZERO)

    def dispatch(
        self, number: int, priority: Priority = Priority.waiting
    ) -> None:
        """Give the upstream a read."""
        message = Dispatch(
            request=RequestId(number),
            upstream=UPSTREAM,
            service=SERVICE,
            route=RouteName('r'),
            method=b'GET',
            target=b'/r',
            headers=(),
            body=b'',
            remaining_ms=1000,
            answer_limit_bytes=100,
            priority=priority,
            caller=CallerName('c'),
            idempotent=True,
        )
        origin = Origin(DaemonId('peer'), Incarnation(1), RequestId(number))
        self.hop.dispatch(origin, None, message, ZERO)

    def calls(self) -> list[CallUpstream]:
        """Return the calls made since the last look."""
        effects = self.outbox.drain()
        return [each for each in effects if isinstance(each, CallUpstream)]

    def fail(self, fault: CallFault, *, sent: bool) -> None:
        """End the running call."""
        failure = Failure(Step.call, 'a:1', 'gone')
        call = self.calls()[0].call
        self.hop.failed(UpstreamFailed(call, fault, sent, failure), ms(10))


def test_reset_alone_convicts_nothing() -> None:
    """Gray upstreams reset connections; that is told to nobody."""
    hop = _Hop()
    hop.dispatch(1)
    hop.fail(CallFault.reset, sent=True)
    assert not len(hop.poison_requests)
    hop.hop.probed(Probed(UPSTREAM, alive=False, refused=True), ms(20))
    assert len(hop.poison_requests) == 1


def test_draining_refuses_what_waits() -> None:
    """A queued request must not reach an upstream after its notice."""
    hop = _Hop()
    hop.dispatch(1)
    hop.dispatch(2)
    assert len(hop.calls()) == 1
    hop.announce(UpstreamState.draining, sequence=2)
    assert hop.hop.busy
    hop.hop.tick(ms(100))
    assert not hop.calls()


def test_queue_is_not_run_on_a_failing_upstream() -> None:
    """A prompt failure must not pull the whole queue into the same fault."""
    hop = _Hop()
    for number in range(1, 5):
        hop.dispatch(number)
    call = hop.calls()[0].call
    hop.hop.answered(UpstreamAnswered(call, 500, (), b''), ms(1))
    assert hop.hop.health_tracker.state(UPSTREAM) is UpstreamState.sick
    assert not hop.calls()
    assert not hop.hop.busy


def test_late_announcement_does_not_undo_a_notice() -> None:
    """A check-in from before the notice may arrive after it."""
    hop = _Hop()
    hop.announce(UpstreamState.draining, sequence=3)
    hop.announce(UpstreamState.serving, sequence=2)
    assert hop.hop.upstreams[UPSTREAM].announced is UpstreamState.draining


def test_late_announcement_of_an_ended_boot() -> None:
    """An upstream that has ended must not take the place of its successor."""
    hop = _Hop()
    other = UpstreamId('v')
    event = Announced(
        other, SERVICE, 'a:1', 1, UpstreamState.serving, boot=8, sequence=1
    )
    hop.hop.announce(event, ms(1))
    hop.announce(UpstreamState.serving, sequence=9)
    assert list(hop.hop.upstreams) == [other]


def test_last_announcement_is_final() -> None:
    """A check-in that is late must not bring back what has left."""
    hop = _Hop()
    leave = Announced(
        UPSTREAM, SERVICE, 'a:1', 1, UpstreamState.draining, last=True
    )
    hop.hop.announce(leave, ms(1))
    hop.announce(UpstreamState.serving, sequence=9)
    assert hop.hop.upstreams[UPSTREAM].announced is UpstreamState.draining


def test_hanging_read_is_not_sent_to_its_upstream_again() -> None:
    """A second run where the first one hangs would only take a slot."""
    hop = _Hop()
    hop.dispatch(1)
    assert len(hop.calls()) == 1
    hop.hop.tick(ms(2500))
    effects = hop.outbox.drain()
    assert not any(isinstance(each, CallUpstream) for each in effects)


@pytest.mark.parametrize('preempts', [True, False])
def test_running_read_is_interrupted_only_where_allowed(
    *, preempts: bool
) -> None:
    """An upstream that is cut off at its work makes the answer unknown."""
    hop = _Hop()
    service = Service(SERVICE, preempts=preempts)
    hop.hop.hosted.configure({SERVICE: service})
    for number in range(1, 60):
        hop.dispatch(number, Priority.internal)
        hop.hop.upstreams[UPSTREAM].preemptions.earn()
    hop.dispatch(60)
    hop.hop.tick(ms(500))
    aborted = any(isinstance(each, AbortCall) for each in hop.outbox.drain())
    assert aborted is preempts
