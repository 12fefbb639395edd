"""Options of the test run and selection of tests."""

import pytest


def pytest_addoption(parser: pytest.Parser) -> None:
    """Add options for runs longer than those of CI and for known failures."""
    parser.addoption(
        '--histories',
        type=int,
        default=40,
        help='number of generated histories of the fleet (default: 40)',
    )
    parser.addoption(
        '--history-seed',
        type=int,
        default=1,
        help='seed of the first history; the others follow (default: 1)',
    )
    parser.addoption(
        '--idle-connections',
        type=int,
        default=200,
        help='number of idle caller connections to hold open (default: 200)',
    )
    parser.addoption(
        '--known-red',
        action='store_true',
        help='also run the tests listed in KNOWN-RED.txt',
    )


def pytest_configure(config: pytest.Config) -> None:
    """Register the marker of tests that fail because of a known fault."""
    config.addinivalue_line('markers', 'known_red: listed in KNOWN-RED.txt')


def pytest_collection_modifyitems(
    config: pytest.Config, items: list[pytest.Item]
) -> None:
    """Deselect the tests listed in KNOWN-RED.txt without ``--known-red``."""
    if config.getoption('--known-red'):
        return
    deselected = [one for one in items if one.get_closest_marker('known_red')]
    config.hook.pytest_deselected(items=deselected)
    for one in deselected:
        items.remove(one)
