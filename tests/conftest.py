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
