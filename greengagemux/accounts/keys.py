"""API keys of client accounts, which are kept as digests only."""

from collections.abc import Iterable, Mapping
from enum import Enum
from functools import lru_cache
from hashlib import sha256
from typing import Final, NewType

from ..ids import CallerName

#: SHA-256 of an API key. Timing can reveal at most a part of a digest, which
#: does not help to guess a key.
KeyDigest = NewType('KeyDigest', bytes)

#: Longer keys are unknown without being hashed.
KEY_LIMIT_BYTES: Final = 512
#: Number of recently used keys whose digests are cached.
CACHE_SIZE: Final = 4096


class Credentials(Enum):
    """How requests name the account of their caller."""

    #: By a bearer token in ``Authorization``.
    bearer = 'bearer'
    #: By an API key, which the listener puts into the header ``ACCOUNT_KEY``.
    api_key = 'api-key'


def digest_key(key: bytes) -> KeyDigest | None:
    """Return the digest of a key, None if it is empty or too long."""
    return _digest(key) if 0 < len(key) <= KEY_LIMIT_BYTES else None


def index_keys(
    accounts: Mapping[CallerName, Iterable[str]],
) -> Mapping[KeyDigest, CallerName]:
    """Return the account of each key.

    Raises ``ValueError`` for an empty or overlong key and for one that two
    accounts have. The error names the account and never the key.
    """
    index: dict[KeyDigest, CallerName] = {}
    for account, keys in accounts.items():
        for key in keys:
            digest = digest_key(key.encode())
            if digest is None:
                raise ValueError(f'account {account!r}: a key is not valid')
            if index.setdefault(digest, account) != account:
                raise ValueError(
                    f'account {account!r}: another account has the same key'
                )
    return index


@lru_cache(maxsize=CACHE_SIZE)
def _digest(key: bytes) -> KeyDigest:
    return KeyDigest(sha256(key).digest())
