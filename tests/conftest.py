"""Options of the test run."""

import pytest


def pytest_addoption(parser: pytest.Parser) -> None:
    """Add the number of generated histories, for runs longer than CI's."""
    parser.addoption(
        '--histories',
        type=int,
        default=40,
        help='generated histories of the whole fleet (default: 40)',
    )
    parser.addoption(
        '--history-seed',
        type=int,
        default=1,
        help='seed of the generated histories (default: 1)',
    )
    parser.addoption(
        '--idle-connections',
        type=int,
        default=200,
        help='idle connections of callers that are held (default: 200)',
    )
    parser.addoption(
        '--known-red',
        action='store_true',
        help='also run the tests listed in KNOWN-RED.txt',
    )


def pytest_configure(config: pytest.Config) -> None:
    """Name the marker of tests that fail because of a known fault."""
    config.addinivalue_line('markers', 'known_red: listed in KNOWN-RED.txt')


def pytest_collection_modifyitems(
    config: pytest.Config, items: list[pytest.Item]
) -> None:
    """Leave out the tests listed in KNOWN-RED.txt unless asked for."""
    if config.getoption('--known-red'):
        return
    left_out = [one for one in items if one.get_closest_marker('known_red')]
    config.hook.pytest_deselected(items=left_out)
    for one in left_out:
        items.remove(one)
