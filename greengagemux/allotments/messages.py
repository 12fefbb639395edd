"""Messages between an ingress and the owner of an account's allotment."""

from enum import Enum

from msgspec import Struct

from ..ids import CallerName, ExchangeId


class Decision(Enum):
    """Decision on a request of an account with a limited rate."""

    granted = 'granted'
    refused = 'refused'
    #: The daemon that was asked does not own the allotment in its own view.
    not_owner = 'not-owner'


class TokenRequest(Struct, frozen=True, array_like=True, tag='want-token'):
    """Asks the owner of an account for the token of one request.

    ``exchange`` is that of the request at the sender.
    """

    exchange: ExchangeId
    account: CallerName


class TokenReply(Struct, frozen=True, array_like=True, tag='token'):
    """Decision on the request of an ingress.

    After a refusal, ``wait_ms`` is the time until the next token.
    """

    exchange: ExchangeId
    decision: Decision
    wait_ms: int = 0


TokenMessage = TokenRequest | TokenReply
