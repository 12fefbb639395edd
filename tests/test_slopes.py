"""Guards against a membership measurement that misses changes."""

import json
import pathlib

from click.testing import CliRunner

from greengagemux import slopes


def test_small_fleet_within_budget(tmp_path: pathlib.Path) -> None:
    """Every change reaches all daemons, within the traffic budget.

    Fails if membership with 5 % message loss leaves changes unfinished, is
    slow to propagate them or sends too much.
    """
    path = tmp_path / 'slopes.json'
    arguments = ['--daemons', '10', '--loss', '0.05', '--json', str(path)]
    done = CliRunner().invoke(slopes.slopes, arguments)
    assert done.exit_code == 0, done.output
    run = json.loads(path.read_text())['runs'][0]
    assert run['changes'] > 100
    assert not run['unfinished']
    assert run['known_p99_s'] < 3
    assert run['peak_bytes_a_second'] < slopes.BUDGET_BYTES_A_SECOND
