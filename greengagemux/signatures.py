"""Signed bundle records and the operators' keys that may sign them."""

import re
import zlib
from collections.abc import Mapping
from dataclasses import dataclass
from hashlib import sha256
from typing import Final

import msgspec
from cryptography.exceptions import InvalidSignature
from cryptography.hazmat.primitives.asymmetric import ed25519

from . import bundles
from .outcomes import Failure, FailureError, Step

FORMAT: Final = 1
#: A record and its other fields fit in one message between daemons (8 MiB).
RECORD_LIMIT_BYTES: Final = 7 * 1024 * 1024
#: Bounds the memory that a compressed text can take when it is opened.
TEXT_LIMIT_BYTES: Final = 16 * 1024 * 1024
#: Keeps a bundle signature from being valid for any other kind of message.
DOMAIN: Final = b'greengagemux bundle record 1'

_HEX_KEY: Final = re.compile('[0-9a-f]{64}')
_KEY_RULE: Final = 'must be HEX [from VERSION] [until VERSION], with commas'
_ENTRY: Final = re.compile(
    '([0-9a-f]{64})(?: +from +([0-9]{1,15}))?(?: +until +([0-9]{1,15}))?',
)


class SignatureError(FailureError):
    """The record was not signed with a key that is valid for its version."""


@dataclass(frozen=True, slots=True)
class OperatorKey:
    """A public key, valid for bundle versions ``first`` to ``last``.

    The period is in versions and not in dates: versions only rise along the
    chain and are part of the signed text, so all readers judge alike
    whatever their clocks say.
    """

    public: str
    first: int = 1
    last: int = bundles.VERSION_LIMIT

    def covers(self, version: int) -> bool:
        """Return whether the key may sign this bundle version."""
        return self.first <= version <= self.last


class KeyRing:
    """Keys of all operators."""

    def __init__(self, keys: Mapping[str, tuple[OperatorKey, ...]]) -> None:
        """Keep the keys by operator."""
        self._keys = dict(keys)

    @classmethod
    def from_settings(cls, section: Mapping[str, str]) -> 'KeyRing':
        """Read the settings section ``[operators]``.

        A value lists keys, ``HEX [from VERSION] [until VERSION]``, separated
        by commas. Raises ``FailureError`` that names the operator.
        """
        return cls(
            {
                operator: tuple(
                    _operator_key(operator, entry.strip())
                    for entry in entries.split(',')
                )
                for operator, entries in section.items()
            }
        )

    def of(self, operator: str) -> tuple[OperatorKey, ...]:
        """Return the keys of an operator; empty if it is not known."""
        return self._keys.get(operator, ())


@dataclass(frozen=True, slots=True)
class SignedBundle:
    """A bundle whose signature was verified.

    ``digest`` is the SHA-256 of the record payload.
    """

    bundle: bundles.Bundle
    text: str
    digest: bytes
    operator: str


class _Envelope(msgspec.Struct, frozen=True, array_like=True):
    format: int
    operator: str
    packed: bytes
    signature: bytes


_decoder: Final = msgspec.msgpack.Decoder(_Envelope)


def keygen() -> tuple[str, str]:
    """Return a new private and public key, each as 64 hex digits."""
    private = ed25519.Ed25519PrivateKey.generate()
    return (
        private.private_bytes_raw().hex(),
        private.public_key().public_bytes_raw().hex(),
    )


def sign(text: str, operator: str, private_key: str) -> bytes:
    """Return the record payload of a signed bundle text.

    Raises ``BundleError`` if the text is invalid or too large, and
    ``FailureError`` if the private key is malformed.
    """
    bundles.parse(text, operator)
    raw = text.encode()
    if len(raw) > TEXT_LIMIT_BYTES:
        raise bundles.BundleError(
            [f'{operator}: above {TEXT_LIMIT_BYTES} bytes']
        )
    if not _HEX_KEY.fullmatch(private_key):
        raise _failed(operator, 'a private key is 64 hex digits')
    private = ed25519.Ed25519PrivateKey.from_private_bytes(
        bytes.fromhex(private_key),
    )
    # Tokens are hex digits, so a bundle of many callers shrinks to about half.
    packed = zlib.compress(raw)
    signature = private.sign(_message(operator, packed))
    payload = msgspec.msgpack.encode(
        _Envelope(FORMAT, operator, packed, signature),
    )
    if len(payload) > RECORD_LIMIT_BYTES:
        raise bundles.BundleError(
            [f'{operator}: above {RECORD_LIMIT_BYTES} bytes']
        )
    return payload


def record_digest(payload: bytes) -> bytes:
    """Return the digest that identifies a record payload."""
    return sha256(payload).digest()


def open_record(
    payload: bytes,
    keys: KeyRing | Mapping[str, str],
) -> SignedBundle:
    """Verify and parse a record payload.

    Raises ``SignatureError`` for a signature that is not valid and
    ``FailureError`` for a record that cannot be read.
    """
    ring = keys if isinstance(keys, KeyRing) else KeyRing.from_settings(keys)
    envelope = _decoded(payload)
    operator = envelope.operator
    signers = [key for key in ring.of(operator) if _verifies(key, envelope)]
    # The text is unpacked only after its signature was found valid.
    if not signers:
        raise _unsigned(operator, 'no key of the operator fits the signature')
    text = _unpacked(envelope)
    bundle = _parsed(text, operator)
    if not any(key.covers(bundle.version) for key in signers):
        raise _unsigned(
            operator,
            f'the key is not valid for version {bundle.version}',
        )
    return SignedBundle(
        bundle=bundle,
        text=text,
        digest=record_digest(payload),
        operator=operator,
    )


def _operator_key(operator: str, entry: str) -> OperatorKey:
    match = _ENTRY.fullmatch(entry)
    if match is None:
        raise FailureError(
            Failure(
                Step.settings,
                operator,
                f'[operators] {operator}: {entry!r}: {_KEY_RULE}',
            ),
        )
    public, first, last = match.groups()
    return OperatorKey(
        public, int(first or 1), int(last or bundles.VERSION_LIMIT)
    )


def _message(operator: str, packed: bytes) -> bytes:
    return msgspec.msgpack.encode((DOMAIN, FORMAT, operator, packed))


def _decoded(payload: bytes) -> _Envelope:
    if len(payload) > RECORD_LIMIT_BYTES:
        raise _failed('unknown operator', 'the record is too large')
    try:
        envelope = _decoder.decode(payload)
    except (msgspec.DecodeError, UnicodeDecodeError) as error:
        raise _failed(
            'unknown operator',
            f'not a bundle record: {error}',
        ) from error
    if envelope.format != FORMAT:
        raise _failed(
            envelope.operator,
            f'record format {envelope.format}, this daemon reads {FORMAT}',
        )
    # A second encoding of one record would have a second digest.
    if msgspec.msgpack.encode(envelope) != payload:
        raise _failed(envelope.operator, 'the record encoding is not canonical')
    return envelope


def _unpacked(envelope: _Envelope) -> str:
    inflater = zlib.decompressobj()
    try:
        raw = inflater.decompress(envelope.packed, TEXT_LIMIT_BYTES)
    except zlib.error as error:
        raise _failed(
            envelope.operator,
            f'the text cannot be unpacked: {error}',
        ) from error
    if not inflater.eof or inflater.unused_data:
        raise _failed(envelope.operator, 'the text is cut off or too large')
    try:
        return raw.decode()
    except UnicodeDecodeError as error:
        raise _failed(envelope.operator, 'the text is not UTF-8') from error


def _verifies(key: OperatorKey, envelope: _Envelope) -> bool:
    public = ed25519.Ed25519PublicKey.from_public_bytes(
        bytes.fromhex(key.public),
    )
    try:
        public.verify(
            envelope.signature,
            _message(envelope.operator, envelope.packed),
        )
    except InvalidSignature:
        return False
    return True


def _parsed(text: str, operator: str) -> bundles.Bundle:
    try:
        return bundles.parse(text, operator)
    except bundles.BundleError as error:
        raise _failed(operator, '; '.join(error.problems[:3])) from error


def _failed(operator: str, detail: str) -> FailureError:
    return FailureError(Failure(Step.bundle, operator, detail))


def _unsigned(operator: str, detail: str) -> SignatureError:
    return SignatureError(Failure(Step.bundle, operator, detail))
