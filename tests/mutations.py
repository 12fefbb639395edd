"""Mutation tests: the fleet tests must fail when a rule is disabled.

Run ``python tests/mutations.py --histories 200``: each mutation is applied to
a copy of the package, and a history or a test of the fleet must fail. With
``--reports`` the guards against the reports of other operators are disabled
instead, and the test that ``docs/proofs.md`` names for each must fail.
"""

import os
import shutil
import subprocess
import sys
import tempfile
from concurrent.futures import ThreadPoolExecutor
from dataclasses import dataclass
from pathlib import Path

import click

ROOT = Path(__file__).parent.parent
LIMIT_S = 540


@dataclass(frozen=True)
class Mutation:
    """A rule disabled by replacing text that occurs once in a module.

    ``invariant`` is a part of the name of the test that must fail.
    """

    name: str
    module: str
    old: str
    new: str
    invariant: str


MUTATIONS = (
    Mutation(
        'responses that do not echo their request are forwarded',
        'jobs',
        'if not echoes(',
        'if False and not echoes(',
        'whole_answers',
    ),
    Mutation(
        'a write is retried like a read',
        'ingress',
        'if not pending.idempotent or not _may_attempt_again(pending):',
        'if not _may_attempt_again(pending):',
        'single_writes',
    ),
    Mutation(
        'a lost write is reported as not run after a restart of the egress',
        'ingress',
        'if path.incarnation != attempt.incarnation:',
        'if False:',
        'true_not_run',
    ),
    Mutation(
        'requests on a superseded stream of a peer are accepted',
        'epochs',
        'return newest is not None and newest.stream == stream',
        'return True',
        'true_not_run',
    ),
    Mutation(
        'the ingress does not enforce deadlines',
        'ingress',
        'while self._deadlines and self._deadlines[0][0] <= now:',
        'while False:',
        'prompt_answers',
    ),
    Mutation(
        'leases are not checked at dispatch',
        'jobs',
        'return self.confirmed and self.expires > now',
        'return True',
        'leaving_upstreams',
    ),
    Mutation(
        'leases are trusted after a stall',
        'upstreams',
        'if not stalled:',
        'if True:',
        'leaving_upstreams',
    ),
    Mutation(
        'a planned stop does not wait for requests',
        'reducers',
        'if idle or waited',
        'if True or waited',
        'graceful_stops',
    ),
    Mutation(
        'an ingress dispatches a keyed write without its owner',
        'ingress',
        'if not pending.key:',
        'if True:',
        'single_writes',
    ),
    Mutation(
        'a new owner runs keys that the lost owner may have run',
        'writes',
        'if self._in_window(active_time):',
        'if False:',
        'single_writes',
    ),
    Mutation(
        'records are not handed over at a planned stop',
        'slotleases',
        'owned.key_records.merge(owned.received.values(), self._active_time)',
        'pass',
        'single_writes',
    ),
    Mutation(
        'an ingress reports "not run" for a keyed write',
        'ingress',
        'Outcome.unknown if keyed else Outcome.not_run',
        'Outcome.not_run',
        'true_not_run',
    ),
    Mutation(
        'the capacity floor is not kept',
        'selection',
        'if counted >= needed:',
        'if True:',
        'capacity_floor',
    ),
)


#: Guards against what other operators of similar systems reported.
GUARDS = (
    Mutation(
        'a connection that closes before the response is no reset',
        'connections',
        'may_end_here = exchange.close_delimited and exchange.status',
        'may_end_here = exchange.close_delimited',
        'test_connection_closed_before_the_head_ends_counts_as_reset',
    ),
    Mutation(
        'crash reports stay within a region',
        'crashes',
        'for region in sorted(regions - {self._region}):',
        'for region in ():',
        'test_crashing_request_is_blocked_in_all_regions',
    ),
    Mutation(
        'a failed effect ends its event',
        'runtimes',
        'self._try_to_carry_out(effect)',
        'self._carry_out(effect)',
        'test_failed_effect_does_not_stop_the_others',
    ),
    Mutation(
        'a stopping daemon takes requests until its end',
        'requests',
        'if pending.deadline <= self.ends_at:',
        'if True:',
        'test_late_request_is_served_or_refused_at_once',
    ),
    Mutation(
        'answers of other requests are passed on',
        'connections',
        'if owner is ResponseOwner.other:',
        'if False:',
        'test_answer_of_another_request_is_skipped',
    ),
    Mutation(
        'repeated refusals are passed on',
        'connections',
        'if owner is ResponseOwner.unnamed and self._used_before:',
        'if False:',
        'test_earlier_refusal_written_again',
    ),
    Mutation(
        'a connection that is closed ends any response',
        'connections',
        'if may_end_here and reason.check(ConnectionDone):',
        'if True:',
        'test_response_that_is_cut_is_never_whole',
    ),
    Mutation(
        'a planned stop does not wait for requests',
        'reducers',
        'if idle or waited',
        'if True or waited',
        'test_planned_stop_answers_what_was_just_accepted',
    ),
    Mutation(
        'a leaving upstream is forgotten with its egress',
        'candidates',
        'return record.boot <= self._leaving_boots.get(record.upstream, -1)',
        'return False',
        'test_restarted_egress_does_not_revive_a_leaving_upstream',
    ),
    Mutation(
        'an owner dispatches after its lease',
        'ingress',
        'if permit is not None and not self._keyed.may_run(permit, now):',
        'if False:',
        'test_paused_owner_does_not_dispatch_again_after_its_lease',
    ),
    Mutation(
        'requests from before a pause are run',
        'ingress',
        'if self._egress.local_upstreams.in_stall_backlog(now):',
        'if False:',
        'test_resumed_ingress_refuses_requests_from_before_the_pause',
    ),
    Mutation(
        'requests on a superseded stream of a peer are accepted',
        'epochs',
        'return newest is not None and newest.stream == stream',
        'return True',
        'test_request_on_a_superseded_stream_does_not_run',
    ),
    Mutation(
        'a silent peer is given up',
        'ingress',
        'unreachable = path.state is PathState.failed and path.refused',
        'unreachable = True',
        'test_silent_stream_is_replaced_and_the_write_answered',
    ),
)
_FLEET_TESTS = (
    'tests/test_fleet.py',
    'tests/test_keyed.py',
    'tests/test_histories.py',
)


def _first_failure(mutation: Mutation, tests: tuple[str, ...]) -> str:
    """Return the first line that shows a failure, empty without one."""
    with tempfile.TemporaryDirectory() as folder:
        for part in ('greengagemux', 'greengagemux_standins', 'tests'):
            shutil.copytree(ROOT / part, Path(folder, part))
        path = Path(folder, 'greengagemux', f'{mutation.module}.py')
        text = path.read_text()
        if text.count(mutation.old) != 1:
            raise click.ClickException(
                f'{mutation.module}.py must hold {mutation.old!r} exactly once'
            )
        path.write_text(text.replace(mutation.old, mutation.new))
        done = subprocess.run(
            (
                *(
                    sys.executable,
                    '-m',
                    'pytest',
                    '-q',
                    '-p',
                    'no:cacheprovider',
                ),
                *tests,
            ),
            cwd=folder,
            env={**os.environ, 'PYTHONPATH': folder},
            capture_output=True,
            text=True,
            timeout=LIMIT_S,
            check=False,
        )
    found = [
        line
        for line in done.stdout.splitlines()
        if mutation.invariant in line or line.startswith('FAILED')
    ]
    return found[0].strip() if found else ''


@click.command()
@click.option('--histories', type=click.IntRange(1), default=200)
@click.option('--jobs', type=click.IntRange(1, 8), default=3)
@click.option('--reports', is_flag=True)
def main(histories: int, jobs: int, *, reports: bool) -> None:
    """Apply each mutation and report whether a test fails."""
    mutations = GUARDS if reports else MUTATIONS
    histories_words = (*_FLEET_TESTS, f'--histories={histories}')
    with ThreadPoolExecutor(jobs) as pool:
        found = pool.map(
            lambda each: _first_failure(
                each,
                ('tests', '-k', each.invariant) if reports else histories_words,
            ),
            mutations,
        )
        missed = 0
        for mutation, line in zip(mutations, found, strict=True):
            report = f'found: {line[:100]}' if line else 'MISSED'
            missed += not line
            click.echo(f'{mutation.name} ({mutation.invariant}): {report}')
    click.echo(f'{len(mutations) - missed} passed, {missed} failed')
    sys.exit(bool(missed))


if __name__ == '__main__':
    main()
