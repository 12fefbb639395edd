"""Options of the tests."""

import pytest


def pytest_addoption(parser: pytest.Parser) -> None:
    """Let a long run try more generated histories than CI does."""
    parser.addoption('--histories', type=int, default=40)
