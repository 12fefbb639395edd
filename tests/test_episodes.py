"""Guards the health tracker for upstreams with short gray episodes.

Also guards what the egress does with queued and running requests when the
health or the announcement of their upstream changes.
"""

from datetime import timedelta
from random import Random
from typing import Any

import pytest
from hypothesis import given
from hypothesis import strategies as st

from greengagemux.answers import WRITE_GRACE, Origin
from greengagemux.bundles import Service
from greengagemux.clocks import ZERO, ms
from greengagemux.poisonrequests import (
    CRASHES_TO_BLOCK,
    PoisonRequests,
    PoisonStatus,
)
from greengagemux.crashchecks import ABORT_WINDOW, HOLD_LIMIT
from greengagemux.crashes import CrashReports
from greengagemux.detectors import Sample, SampleKind
from greengagemux.effects import (
    AbortCall,
    CallUpstream,
    CheckListening,
    Outbox,
)
from greengagemux.episodes import Belief, EpisodeHealthTracker, likelihood
from greengagemux.events import (
    Announced,
    CallFault,
    ListeningChecked,
    Probed,
    UpstreamAnswered,
    UpstreamFailed,
    UpstreamStated,
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
from greengagemux.messages import (
    Answer,
    Dispatch,
    Priority,
    Refusal,
    UpstreamState,
)
from greengagemux.outcomes import Failure, Outcome, Reason, Step
from greengagemux.paths import Paths

UPSTREAM = UpstreamId('u')
SERVICE = ServiceName('s')
CALLER = CallerName('c')
GOOD = Sample(SampleKind.success, RouteName('r'), 50)
BAD = Sample(SampleKind.error, RouteName('r'), 1)
SHED = Sample(SampleKind.error, RouteName('r'), 1, shed=True)


def _health_tracker() -> EpisodeHealthTracker:
    health_tracker = EpisodeHealthTracker(ms(50))
    health_tracker.announced(UPSTREAM, SERVICE, 4, UpstreamState.serving, ZERO)
    return health_tracker


def _admits(health_tracker: EpisodeHealthTracker, *, idempotent: bool) -> bool:
    return health_tracker.admits(
        UPSTREAM, 0, idempotent=idempotent, forced=False
    )


def test_first_failure_keeps_writes_away() -> None:
    """A possibly gray upstream must get no writes after its first failure."""
    health_tracker = _health_tracker()
    for step in range(20):
        health_tracker.observe(UPSTREAM, GOOD, ms(100 * step))
    health_tracker.observe(UPSTREAM, BAD, ms(2100))
    assert not _admits(health_tracker, idempotent=False)
    assert _admits(health_tracker, idempotent=True)
    health_tracker.observe(UPSTREAM, BAD, ms(2200))
    assert health_tracker.state(UPSTREAM) is UpstreamState.sick
    assert not _admits(health_tracker, idempotent=True)


@pytest.mark.parametrize('seed', range(5))
def test_upstream_that_sheds_a_part_stays_in_service(seed: int) -> None:
    """A refusal costs another attempt, an ejection all of its capacity.

    Writes may go there too, as a refused one has not run.
    """
    health_tracker = _health_tracker()
    rng = Random(seed)
    admitted = 0
    for step in range(1000):
        now = ms(20 * step)
        health_tracker.tick(now)
        if _admits(health_tracker, idempotent=False):
            admitted += 1
            sample = SHED if rng.random() < 0.55 else GOOD
            health_tracker.observe(UPSTREAM, sample, now)
        elif _admits(health_tracker, idempotent=True):
            sample = SHED if rng.random() < 0.55 else GOOD
            health_tracker.observe(UPSTREAM, sample, now)
    assert admitted >= 500


def test_upstream_that_sheds_everything_is_ejected() -> None:
    """Without a response in between, refusals must lead elsewhere."""
    health_tracker = _health_tracker()
    sheds = 0
    while _admits(health_tracker, idempotent=True):
        health_tracker.observe(UPSTREAM, SHED, ms(sheds))
        sheds += 1
    assert sheds <= 8


def test_trials_of_a_long_episode_get_further_apart() -> None:
    """Each trial costs a failed request; none may be 2 s after the last.

    After the upstream has served again, the first trial is early again.
    """
    health_tracker = _health_tracker()
    now = ZERO
    for _ in range(2):
        delays = []
        for _ in range(8):
            while _admits(health_tracker, idempotent=True):
                health_tracker.observe(UPSTREAM, BAD, now)
            failed_at = now
            while not _admits(health_tracker, idempotent=True):
                now += ms(50)
                health_tracker.tick(now)
            delays.append(now - failed_at)
        assert delays == sorted(delays)
        assert delays[0] <= ms(800)
        assert ms(1500) <= delays[-1] < ms(2000)
        while health_tracker.state(UPSTREAM) is not UpstreamState.serving:
            health_tracker.observe(UPSTREAM, GOOD, now)


def test_trials_of_an_upstream_that_stays_down_go_on() -> None:
    """Guards against a delay that overflows after many failed trials."""
    health_tracker = _health_tracker()
    now = ZERO
    for _ in range(2000):
        while _admits(health_tracker, idempotent=True):
            health_tracker.observe(UPSTREAM, BAD, now)
        now += ms(2000)
        health_tracker.tick(now)
    assert _admits(health_tracker, idempotent=True)


def test_error_after_the_usual_time_keeps_upstream_in_service() -> None:
    """A failed call to a dependency must not eject the upstream itself."""
    health_tracker = _health_tracker()
    for step in range(20):
        health_tracker.observe(UPSTREAM, GOOD, ms(100 * step))
    late = Sample(SampleKind.error, RouteName('r'), 45, expected_ms=50)
    health_tracker.observe(UPSTREAM, late, ms(2100))
    assert _admits(health_tracker, idempotent=False)
    prompt = Sample(SampleKind.error, RouteName('r'), 2, expected_ms=50)
    health_tracker.observe(UPSTREAM, prompt, ms(2200))
    assert not _admits(health_tracker, idempotent=False)


def test_errors_that_peers_share_do_not_eject() -> None:
    """A failing shared dependency must not eject all upstreams of a service."""
    health_tracker = _health_tracker()
    shared = Sample(SampleKind.error, RouteName('r'), 45, 50, peer_errors=0.4)
    for step in range(20):
        health_tracker.observe(UPSTREAM, shared, ms(100 * step))
    assert health_tracker.state(UPSTREAM) is UpstreamState.serving


def test_probation_takes_idempotent_requests_and_ends() -> None:
    """An upstream on probation must get no request that must not run twice."""
    health_tracker = _health_tracker()
    health_tracker.observe(UPSTREAM, BAD, ZERO)
    health_tracker.tick(ms(1100))
    assert health_tracker.state(UPSTREAM) is UpstreamState.probation
    assert _admits(health_tracker, idempotent=True)
    assert not _admits(health_tracker, idempotent=False)
    for step in range(4):
        health_tracker.observe(UPSTREAM, GOOD, ms(1200 + 100 * step))
    assert health_tracker.state(UPSTREAM) is UpstreamState.serving


def test_crashed_upstream_waits_longer_for_probation() -> None:
    """Requests to a process that does not listen only use up retries."""
    health_tracker = _health_tracker()
    health_tracker.crashed(UPSTREAM, ZERO)
    health_tracker.tick(ms(1900))
    assert not _admits(health_tracker, idempotent=True)
    health_tracker.tick(ms(2100))
    assert _admits(health_tracker, idempotent=True)


def test_failure_on_probation_ejects_again() -> None:
    """An episode that outlasts the ejection must lead to another ejection."""
    health_tracker = _health_tracker()
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


class _EgressHarness:
    """An egress with one upstream."""

    def __init__(self, slots: int = 1) -> None:
        self.outbox = Outbox()
        self.slots = slots
        rng = Random(1)
        self.poison_requests = PoisonRequests(rng)
        paths = Paths(self.outbox, rng)
        crashes = CrashReports(self.poison_requests, paths, self.outbox, rng)
        self.egress = Egress(
            DaemonId('d'), self.outbox, EpisodeHealthTracker(ms(50)), crashes
        )
        self.egress.local_upstreams.separate_health = True
        self.announce(UpstreamState.serving, sequence=1)

    def announce(self, state: UpstreamState, **fields: int) -> None:
        """Deliver an announcement of the upstream."""
        event = Announced(
            UPSTREAM, SERVICE, 'a:1', self.slots, state, boot=7, **fields
        )
        self.egress.announce(event, ZERO)

    @property
    def running_fingerprint(self) -> int:
        """Fingerprint of the request that runs."""
        running = self.egress.upstreams[UPSTREAM].running
        return next(iter(running.values())).fingerprint

    def dispatch(
        self,
        number: int,
        priority: Priority = Priority.waiting,
        *,
        caller: CallerName = CALLER,
        host: bytes = b'',
        forced: bool = False,
        idempotent: bool = True,
    ) -> None:
        """Dispatch a request, by default a read, to the upstream."""
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
            caller=caller,
            idempotent=idempotent,
            host=host,
            forced=forced,
        )
        origin = Origin(DaemonId('d'), Incarnation(1), RequestId(number))
        self.egress.dispatch(origin, None, message, ZERO)

    def calls(self) -> list[CallUpstream]:
        """Return the calls started since the outbox was last drained."""
        effects = self.outbox.drain()
        return [each for each in effects if isinstance(each, CallUpstream)]

    def answer(self, call: CallUpstream, status: int = 200) -> None:
        """End a call with a response."""
        answered = UpstreamAnswered(call.call, status, (), b'')
        self.egress.answered(answered, ms(5))

    def fail(self, fault: CallFault, *, sent: bool) -> None:
        """End the running call."""
        failure = Failure(Step.call, 'a:1', 'gone')
        call = self.calls()[0].call
        self.egress.failed(UpstreamFailed(call, fault, sent, failure), ms(10))


def test_reset_alone_reports_no_poison_request() -> None:
    """A reset by a gray upstream must not count as a crash by the request."""
    harness = _EgressHarness()
    harness.dispatch(1)
    harness.fail(CallFault.reset, sent=True)
    assert not len(harness.poison_requests)
    harness.egress.probed(Probed(UPSTREAM, alive=False, refused=True), ms(20))
    assert len(harness.poison_requests) == 1


def _replies(harness: _EgressHarness) -> list[Any]:
    replies = list(harness.egress.local_replies)
    harness.egress.local_replies.clear()
    return replies


def test_refusal_follows_the_report_of_a_crash() -> None:
    """An ingress that retries must know that the request is a suspect.

    The refusal waits until the check of the listener has ended.
    """
    harness = _EgressHarness()
    harness.dispatch(1)
    harness.fail(CallFault.reset, sent=True)
    kinds = [type(effect) for effect in harness.outbox.drain()]
    assert kinds.count(CheckListening) == 1
    assert not _replies(harness)
    harness.egress.listening_checked(ListeningChecked(UPSTREAM, True), ms(12))
    assert len(harness.poison_requests) == 1
    refusals = _replies(harness)
    assert [type(each) for each in refusals] == [Refusal]
    assert not harness.egress.busy


@pytest.mark.parametrize('silent', [False, True])
def test_refusal_after_a_reset_without_a_crash(silent: bool) -> None:
    """A refusal must not wait longer than the check, and not for ever."""
    harness = _EgressHarness()
    harness.dispatch(1)
    harness.fail(CallFault.reset, sent=True)
    if silent:
        harness.egress.tick(ms(10) + HOLD_LIMIT)
    else:
        checked = ListeningChecked(UPSTREAM, refused=False)
        harness.egress.listening_checked(checked, ms(12))
    refusals = _replies(harness)
    assert len(refusals) == 1
    assert not len(harness.poison_requests)


@pytest.mark.parametrize('expired', [False, True])
def test_request_that_ran_is_never_reported_as_not_run(expired: bool) -> None:
    """A request that ends during the check of a crash may have run."""
    harness = _EgressHarness()
    harness.dispatch(1)
    harness.fail(CallFault.reset, sent=True)
    if expired:
        harness.egress.tick(ms(2000))
    else:
        origin = Origin(DaemonId('d'), Incarnation(1), RequestId(1))
        harness.egress.cancel(origin, ms(11))
    refusal = _replies(harness)[0]
    assert isinstance(refusal, Refusal)
    assert refusal.outcome is Outcome.unknown


@pytest.mark.parametrize('after_ms', [300, 2100])
def test_ended_process_gets_no_forced_request(after_ms: float) -> None:
    """Requests that keep the capacity floor must not meet a closed port.

    They go elsewhere, as not run, until the process may have started again.
    """
    harness = _EgressHarness()
    harness.dispatch(1)
    harness.fail(CallFault.reset, sent=True)
    harness.egress.listening_checked(ListeningChecked(UPSTREAM, True), ms(12))
    _replies(harness)
    harness.egress.tick(ms(after_ms))
    harness.dispatch(2, host=b'other', forced=True)
    admitted = after_ms > 2000
    assert len(harness.calls()) == admitted
    reasons = [each.reason for each in _replies(harness)]
    assert reasons == ([] if admitted else [Reason.sick])


@pytest.mark.parametrize('crashes', [1, CRASHES_TO_BLOCK])
def test_copy_in_the_queue_learns_of_a_crash(crashes: int) -> None:
    """A copy queued before a crash is refused, or runs alone."""
    harness = _EgressHarness(slots=2)
    queue = harness.egress.upstreams[UPSTREAM].queue
    queue.limit, queue.limit_bytes = 10, 10_000
    for number, host in enumerate((b'a', b'b', b'copy'), start=1):
        harness.dispatch(number, host=host)
    calls = harness.calls()
    copy = next(iter(queue)).fingerprint
    for _ in range(crashes):
        harness.poison_requests.crashed([copy], ZERO)
    harness.answer(calls[0])
    assert not harness.calls()
    harness.answer(calls[1])
    started = harness.calls()
    reasons = [
        each.reason for each in _replies(harness) if isinstance(each, Refusal)
    ]
    if crashes < CRASHES_TO_BLOCK:
        assert (len(started), reasons) == (1, [])
    else:
        assert (len(started), reasons) == (0, [Reason.crashes_upstreams])


def test_same_request_of_another_caller_or_host_is_not_blocked() -> None:
    """A request is the same only if its caller and host are the same, too."""
    harness = _EgressHarness(slots=4)
    harness.dispatch(1)
    subject = harness.running_fingerprint
    for _ in range(CRASHES_TO_BLOCK):
        harness.poison_requests.crashed([subject], ZERO)
    assert harness.calls()
    harness.dispatch(2, caller=CallerName('other'))
    harness.dispatch(3, host=b'other')
    assert not _replies(harness)
    harness.dispatch(4)
    reasons = [each.reason for each in _replies(harness)]
    assert reasons == [Reason.crashes_upstreams]


@pytest.mark.parametrize('status', [500, 504, 200])
def test_only_a_response_of_its_run_clears_a_suspect(status: int) -> None:
    """A gray upstream answers 500 without a run, and 504 during one."""
    harness = _EgressHarness()
    harness.dispatch(1)
    subject = harness.running_fingerprint
    harness.poison_requests.crashed([subject], ZERO)
    call = harness.calls()[0].call
    harness.egress.answered(UpstreamAnswered(call, status, (), b''), ms(9))
    cleared = harness.poison_requests.check(subject, ms(9))
    assert (cleared is PoisonStatus.clear) == (status == 200)


def test_one_crash_counts_once() -> None:
    """Resets that are read after the check must not count as a second crash."""
    harness = _EgressHarness(slots=2)
    harness.dispatch(1)
    harness.dispatch(2)
    calls = [each.call for each in harness.calls()]
    failure = Failure(Step.call, 'a:1', 'gone')
    for call, at_ms in zip(calls, (10, 400), strict=True):
        failed = UpstreamFailed(call, CallFault.reset, True, failure)
        harness.egress.failed(failed, ms(at_ms))
        checked = ListeningChecked(UPSTREAM, refused=True)
        harness.egress.listening_checked(checked, ms(at_ms + 1))
    entries = harness.poison_requests.snapshot(ms(500)).entries
    assert [len(entry.crashes) for entry in entries] == [1]


def _abort(harness: _EgressHarness, number: int, now_ms: float) -> None:
    """Abort the call of a request whose client has left."""
    origin = Origin(DaemonId('d'), Incarnation(1), RequestId(number))
    harness.egress.cancel(origin, ms(now_ms))


def _refuse_connection(harness: _EgressHarness, now: timedelta) -> None:
    """Report that the upstream refuses connections, as after its end."""
    probed = Probed(UPSTREAM, alive=False, refused=True)
    harness.egress.probed(probed, now)


def _crash_counts(harness: _EgressHarness) -> list[int]:
    """Return the number of crashes of each suspect."""
    entries = harness.poison_requests.snapshot(ms(10_000)).entries
    return [len(entry.crashes) for entry in entries]


@pytest.mark.parametrize('late', [False, True])
def test_aborted_call_is_suspect_for_a_short_time(late: bool) -> None:
    """A call aborted shortly before a crash is a suspect, once per crash."""
    harness = _EgressHarness()
    harness.dispatch(1)
    _abort(harness, 1, 10)
    found = ms(10) + ABORT_WINDOW - (ms(0) if late else ms(1))
    _refuse_connection(harness, found)
    _refuse_connection(harness, found + ms(1))
    assert _crash_counts(harness) == ([] if late else [1])


def test_restart_after_an_aborted_call_is_a_crash() -> None:
    """A start that follows no announced end shows a crash by itself."""
    harness = _EgressHarness()
    harness.dispatch(1)
    _abort(harness, 1, 10)
    event = Announced(
        UPSTREAM, SERVICE, 'a:1', 1, UpstreamState.serving, boot=8
    )
    harness.egress.announce(event, ms(2000))
    assert _crash_counts(harness) == [1]


def test_aborted_and_running_calls_share_a_crash() -> None:
    """A crash must not count twice if a refusal is read before the resets."""
    harness = _EgressHarness(slots=3)
    for number in (1, 2, 3):
        harness.dispatch(number)
    calls = [each.call for each in harness.calls()]
    _abort(harness, 1, 10)
    _refuse_connection(harness, ms(20))
    failure = Failure(Step.call, 'a:1', 'gone')
    failed = UpstreamFailed(calls[1], CallFault.reset, True, failure)
    harness.egress.failed(failed, ms(21))
    checked = ListeningChecked(UPSTREAM, refused=True)
    harness.egress.listening_checked(checked, ms(22))
    # Its reset is still unread, so it was in flight at the counted crash.
    _abort(harness, 3, 23)
    _refuse_connection(harness, ms(24))
    assert _crash_counts(harness) == [1]


def test_completed_request_is_no_suspect_of_an_earlier_abort() -> None:
    """An unrelated request that was aborted must not stay a suspect."""
    harness = _EgressHarness()
    harness.dispatch(1)
    subject = harness.running_fingerprint
    _abort(harness, 1, 10)
    _refuse_connection(harness, ms(20))
    status = harness.poison_requests.check(subject, ms(20))
    assert status is PoisonStatus.suspect
    harness.egress.tick(ms(2100))
    harness.calls()
    harness.dispatch(2, forced=True)
    harness.answer(harness.calls()[0])
    status = harness.poison_requests.check(subject, ms(2100))
    assert status is PoisonStatus.clear


def test_announced_end_after_an_abort_is_no_crash() -> None:
    """A planned stop must not make aborted calls suspects."""
    harness = _EgressHarness()
    harness.dispatch(1)
    _abort(harness, 1, 10)
    harness.announce(UpstreamState.draining, sequence=2)
    _refuse_connection(harness, ms(20))
    assert _crash_counts(harness) == []


def test_announced_end_of_an_upstream_is_no_crash() -> None:
    """Requests cut off by a planned stop of an upstream are no suspects."""
    harness = _EgressHarness()
    harness.dispatch(1)
    harness.announce(UpstreamState.draining, sequence=2)
    harness.fail(CallFault.reset, sent=True)
    harness.egress.listening_checked(ListeningChecked(UPSTREAM, True), ms(12))
    assert not len(harness.poison_requests)
    assert len(_replies(harness)) == 1


def test_draining_refuses_queued_requests() -> None:
    """A queued request must not reach an upstream that announced draining."""
    harness = _EgressHarness()
    harness.dispatch(1)
    harness.dispatch(2)
    assert len(harness.calls()) == 1
    harness.announce(UpstreamState.draining, sequence=2)
    assert harness.egress.busy
    harness.egress.tick(ms(100))
    assert not harness.calls()


def test_queue_is_not_run_on_a_failing_upstream() -> None:
    """A prompt failure must not let the rest of the queue fail as well."""
    harness = _EgressHarness()
    for number in range(1, 5):
        harness.dispatch(number)
    call = harness.calls()[0].call
    harness.egress.answered(UpstreamAnswered(call, 500, (), b''), ms(1))
    assert harness.egress.health_tracker.state(UPSTREAM) is UpstreamState.sick
    assert not harness.calls()
    assert not harness.egress.busy


def test_late_announcement_does_not_undo_draining() -> None:
    """An announcement overtaken by that of draining must be ignored."""
    harness = _EgressHarness()
    harness.announce(UpstreamState.draining, sequence=3)
    harness.announce(UpstreamState.serving, sequence=2)
    assert (
        harness.egress.upstreams[UPSTREAM].announced is UpstreamState.draining
    )


def test_late_announcement_of_an_ended_boot() -> None:
    """An ended process announced late must not replace its successor."""
    harness = _EgressHarness()
    other = UpstreamId('v')
    event = Announced(
        other, SERVICE, 'a:1', 1, UpstreamState.serving, boot=8, sequence=1
    )
    harness.egress.announce(event, ms(1))
    harness.announce(UpstreamState.serving, sequence=9)
    assert list(harness.egress.upstreams) == [other]


def _replace_running_upstream(harness: _EgressHarness) -> UpstreamId:
    """Announce two later boots while a call runs; return the last id."""
    newest = UpstreamId('v')
    for upstream, boot in ((UPSTREAM, 8), (newest, 9)):
        event = Announced(
            upstream, SERVICE, 'a:1', 1, UpstreamState.serving, boot=boot
        )
        harness.egress.announce(event, ms(boot))
    return newest


@pytest.mark.parametrize('idempotent', [True, False])
def test_call_of_a_replaced_upstream_ends_at_its_deadline(
    *, idempotent: bool
) -> None:
    """Guards against calls that outlive the entry of their upstream.

    Its connection is silent, so nothing else ends the call.
    """
    harness = _EgressHarness()
    harness.dispatch(1, idempotent=idempotent)
    _replace_running_upstream(harness)
    for now in (ms(20), ms(500), ms(1001), ms(1001) + WRITE_GRACE):
        harness.egress.tick(now)
    refusals = _replies(harness)
    assert [each.outcome for each in refusals] == [Outcome.unknown]
    assert not harness.egress.busy


@pytest.mark.parametrize('fails', [False, True])
def test_late_end_of_a_call_of_a_replaced_upstream(*, fails: bool) -> None:
    """Its caller gets the result; it says nothing about the new process."""
    harness = _EgressHarness()
    harness.dispatch(1)
    newest = _replace_running_upstream(harness)
    if fails:
        harness.fail(CallFault.truncated, sent=True)
    else:
        harness.answer(harness.calls()[0])
    replies = _replies(harness)
    assert [type(each) for each in replies] == [Refusal if fails else Answer]
    assert not harness.egress.busy
    assert list(harness.egress.upstreams) == [newest]


def test_failure_of_an_earlier_boot_is_not_counted() -> None:
    """Its process has ended; the next one has the same id."""
    harness = _EgressHarness()
    harness.dispatch(1)
    event = Announced(
        UPSTREAM, SERVICE, 'a:1', 1, UpstreamState.serving, boot=8
    )
    harness.egress.announce(event, ms(8))
    harness.fail(CallFault.truncated, sent=True)
    state = harness.egress.health_tracker.state(UPSTREAM)
    assert state is UpstreamState.serving


@pytest.mark.parametrize('fails', [False, True])
def test_result_of_an_earlier_boot_reports_the_next_one(*, fails: bool) -> None:
    """An ingress applies the reported state to the upstream of this id.

    That of the earlier process is draining, and would keep requests away.
    """
    harness = _EgressHarness()
    harness.dispatch(1)
    event = Announced(
        UPSTREAM, SERVICE, 'a:1', 1, UpstreamState.serving, boot=8
    )
    harness.egress.announce(event, ms(8))
    if fails:
        harness.fail(CallFault.truncated, sent=True)
    else:
        harness.answer(harness.calls()[0])
    load = _replies(harness)[0].load
    assert load.state is UpstreamState.serving
    assert load.leaving_boot is None


def test_statement_of_an_earlier_boot_is_ignored() -> None:
    """The process that leaves is not the one that has the id now."""
    harness = _EgressHarness()
    harness.dispatch(1)
    call = harness.calls()[0].call
    event = Announced(
        UPSTREAM, SERVICE, 'a:1', 1, UpstreamState.serving, boot=8
    )
    harness.egress.announce(event, ms(8))
    stated = UpstreamStated(UPSTREAM, leaving=True, call=call)
    harness.egress.stated(stated, ms(9))
    assert not harness.egress.upstreams[UPSTREAM].leaving


def test_last_announcement_is_final() -> None:
    """A late announcement must not bring back an upstream that has left."""
    harness = _EgressHarness()
    leave = Announced(
        UPSTREAM, SERVICE, 'a:1', 1, UpstreamState.draining, last=True
    )
    harness.egress.announce(leave, ms(1))
    harness.announce(UpstreamState.serving, sequence=9)
    assert (
        harness.egress.upstreams[UPSTREAM].announced is UpstreamState.draining
    )


def test_hanging_read_is_not_sent_to_its_upstream_again() -> None:
    """A second run where the first one hangs would only occupy a slot."""
    harness = _EgressHarness()
    harness.dispatch(1)
    assert len(harness.calls()) == 1
    harness.egress.tick(ms(2500))
    effects = harness.outbox.drain()
    assert not any(isinstance(each, CallUpstream) for each in effects)


@pytest.mark.parametrize('preempts', [True, False])
def test_running_read_is_interrupted_only_where_allowed(
    *, preempts: bool
) -> None:
    """A read may be aborted only if its service allows preemption.

    Whether the upstream has run an aborted read stays unknown.
    """
    harness = _EgressHarness()
    service = Service(SERVICE, preempts=preempts)
    harness.egress.local_upstreams.configure({SERVICE: service})
    for number in range(1, 60):
        harness.dispatch(number, Priority.internal)
        harness.egress.upstreams[UPSTREAM].preemptions.earn()
    harness.dispatch(60)
    harness.egress.tick(ms(500))
    aborted = any(
        isinstance(each, AbortCall) for each in harness.outbox.drain()
    )
    assert aborted is preempts
