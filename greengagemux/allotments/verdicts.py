"""Decisions on pending requests of accounts with a limited rate."""

from dataclasses import dataclass

from ..requests import PendingRequest


@dataclass(frozen=True, slots=True)
class Verdict:
    """Decision on a pending request.

    After a refusal, ``wait_ms`` is the time until the next token.
    """

    pending: PendingRequest
    granted: bool
    wait_ms: int = 0
