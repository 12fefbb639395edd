"""Messages between an ingress and the owner of an account's allotment."""

from enum import Enum

from msgspec import Struct

from ..ids import CallerName, ExchangeId


class Decision(Enum):
    """Decision on a request of an account with a limited rate."""

    granted = 'granted'
    refused = 'refused'
    #: The daemon that was asked has just started and decides on nothing yet.
    unable = 'unable'


class TokenRequest(Struct, frozen=True, array_like=True, tag='want-token'):
    """Asks for the token of one request of an account.

    It goes to the owner of the account, or to the next daemon of its order
    if the owner cannot be asked.

    ``exchange`` is that of the request at the sender.
    """

    exchange: ExchangeId
    account: CallerName


class TokenReply(Struct, frozen=True, array_like=True, tag='token'):
    """Decision on the request of an ingress.

    After a refusal, ``wait_ms`` is the time until the next token. ``pooled``
    means that the sender is not the owner in its own view.
    """

    exchange: ExchangeId
    decision: Decision
    wait_ms: int = 0
    pooled: bool = False


TokenMessage = TokenRequest | TokenReply
