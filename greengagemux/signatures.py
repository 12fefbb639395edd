"""Signed bundle records and the operators' keys that may sign them."""

import re
from collections.abc import Mapping
from dataclasses import dataclass, replace
from enum import Enum
from hashlib import sha256
from typing import Final

import msgspec
from cryptography.exceptions import InvalidSignature
from cryptography.hazmat.primitives.asymmetric import ed25519

from . import bundles, deltas
from .ids import BundleVersion
from .outcomes import Failure, FailureError, Step
from .routes import RouteTable

FORMAT: Final = 2
#: A record of this size fits in one message between daemons (8 MiB) together
#: with the other fields.
RECORD_LIMIT_BYTES: Final = 7 * 1024 * 1024
#: The first version at or above each multiple of this is a full record, so that
#: a reader needs at most one full record and the deltas after it.
FULL_RECORD_INTERVAL: Final = 64
#: Domain separation: a bundle signature is not valid for other kinds of message.
DOMAIN: Final = b'greengagemux bundle record 2'

_HEX_KEY: Final = re.compile('[0-9a-f]{64}')
_KEY_ENTRY_FORM: Final = (
    'must be HEX [from VERSION] [until VERSION], with commas'
)
_KEY_ENTRY: Final = re.compile(
    '([0-9a-f]{64})(?: +from +([0-9]{1,15}))?(?: +until +([0-9]{1,15}))?',
)


class SignatureError(FailureError):
    """The record was not signed with a key that is valid for its version."""


@dataclass(frozen=True, slots=True)
class OperatorKey:
    """A public key, valid for bundle versions ``first`` to ``last``.

    The period is in versions and not in dates: versions only rise along the
    chain and are part of the signed text, so all readers decide alike
    independent of their clocks.
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
                    _parse_key_entry(operator, entry.strip())
                    for entry in entries.split(',')
                )
                for operator, entries in section.items()
            }
        )

    def of(self, operator: str) -> tuple[OperatorKey, ...]:
        """Return the keys of an operator; empty if it is not known."""
        return self._keys.get(operator, ())


class Form(Enum):
    """Whether a record holds its full text or a delta."""

    full = 'full'
    delta = 'delta'


class Envelope(msgspec.Struct, frozen=True, array_like=True):
    """A bundle record: what is signed, the signature, and the text.

    The signature covers the digest of the resulting text and not the form,
    so a full copy of a record that was signed as a delta is valid as well.
    ``text`` is the SHA-256 of the resulting text and ``base`` that of the
    text that ``follows`` names, empty if the record has no delta form.
    ``packed`` holds the compressed text or the delta.
    """

    format: int
    operator: str
    version: BundleVersion
    follows: BundleVersion
    base: bytes
    text: bytes
    signature: bytes
    form: Form
    packed: bytes

    @property
    def message(self) -> bytes:
        """Return the bytes that the operator signs."""
        return msgspec.msgpack.encode(
            (
                DOMAIN,
                self.format,
                self.operator,
                self.version,
                self.follows,
                self.base,
                self.text,
            )
        )


@dataclass(frozen=True, slots=True)
class SignedBundle:
    """A bundle whose signature was verified.

    ``digest`` identifies the record in both forms; ``chunks`` joined are
    the text.
    """

    bundle: bundles.Bundle
    chunks: tuple[str, ...]
    digest: bytes
    envelope: Envelope

    @property
    def operator(self) -> str:
        """Return the operator who signed the record."""
        return self.envelope.operator

    @property
    def text(self) -> str:
        """Return the whole text."""
        return ''.join(self.chunks)

    @property
    def text_digest(self) -> bytes:
        """Return the SHA-256 of the text."""
        return self.envelope.text

    @property
    def base(self) -> bytes:
        """Return the SHA-256 of the base text of a delta, else no bytes."""
        is_delta = self.envelope.form is Form.delta
        return self.envelope.base if is_delta else b''


class BaseMismatchError(FailureError):
    """The base text of the delta is not the text it was to be applied to."""

    def __init__(self, failure: Failure, envelope: Envelope) -> None:
        """Keep the envelope, whose signature was verified."""
        super().__init__(failure)
        self.envelope = envelope


_decoder: Final = msgspec.msgpack.Decoder(Envelope)


def keygen() -> tuple[str, str]:
    """Return a new private and public key, each as 64 hex digits."""
    private = ed25519.Ed25519PrivateKey.generate()
    return (
        private.private_bytes_raw().hex(),
        private.public_key().public_bytes_raw().hex(),
    )


def sign(
    text: str, operator: str, private_key: str, follows: str = ''
) -> bytes:
    """Return the record payload of a signed bundle text.

    ``follows`` is the text of the version that it follows; with it the
    record is a delta unless a full one is due or no larger. Raises
    ``BundleError`` if the text is invalid or too large, and
    ``FailureError`` if the private key is malformed.
    """
    bundle = bundles.parse(text, operator)
    if len(text.encode()) > deltas.TEXT_LIMIT_BYTES:
        raise bundles.BundleError(
            [f'{operator}: above {deltas.TEXT_LIMIT_BYTES} bytes']
        )
    if not _HEX_KEY.fullmatch(private_key):
        raise _record_error(operator, 'a private key is 64 hex digits')
    private = ed25519.Ed25519PrivateKey.from_private_bytes(
        bytes.fromhex(private_key),
    )
    chunks = bundles.finish(bundles.split_steps(text))
    unsigned = Envelope(
        FORMAT,
        operator,
        bundle.version,
        bundle.follows,
        sha256(follows.encode()).digest() if follows else b'',
        sha256(text.encode()).digest(),
        b'',
        Form.full,
        # Tokens are hex digits, so a text of many callers shrinks by half.
        deltas.packed_text(chunks),
    )
    envelope = _with_fields(unsigned, signature=private.sign(unsigned.message))
    payload = _shorter_payload(envelope, follows, chunks)
    if len(payload) > RECORD_LIMIT_BYTES:
        raise bundles.BundleError(
            [f'{operator}: above {RECORD_LIMIT_BYTES} bytes']
        )
    return payload


def record_digest(payload: bytes) -> bytes:
    """Return the digest that identifies a record in both of its forms."""
    try:
        envelope = _decoder.decode(payload)
    except (msgspec.DecodeError, UnicodeDecodeError):
        return sha256(payload).digest()
    return _digest(envelope)


def full_payload(signed: SignedBundle) -> bundles.Steps[bytes]:
    """Return the record of a bundle in full form, in steps."""
    packed = yield from deltas.deflate_steps(signed.chunks)
    return msgspec.msgpack.encode(
        _with_fields(signed.envelope, form=Form.full, packed=packed)
    )


def open_record(
    payload: bytes,
    keys: KeyRing | Mapping[str, str],
    before: SignedBundle | None = None,
) -> SignedBundle:
    """Verify and parse a record payload; see ``open_steps``."""
    return bundles.finish(open_steps(payload, keys, before))


def open_steps(
    payload: bytes,
    keys: KeyRing | Mapping[str, str],
    before: SignedBundle | None = None,
) -> bundles.Steps[SignedBundle]:
    """Verify and parse a record payload in steps.

    ``before`` is the bundle that a delta applies to. Raises
    ``SignatureError`` for a signature that is not valid, ``BaseMismatchError``
    for a delta to another text, and ``FailureError`` for a record that
    is malformed or too large.
    """
    ring = keys if isinstance(keys, KeyRing) else KeyRing.from_settings(keys)
    envelope = _decode(payload)
    operator = envelope.operator
    signers = [key for key in ring.of(operator) if _has_signed(key, envelope)]
    # The text is unpacked only after its signature was found valid.
    if not signers:
        raise _signature_error(
            operator, 'no key of the operator matches the signature'
        )
    if not any(key.covers(envelope.version) for key in signers):
        raise _signature_error(
            operator,
            f'the key is not valid for version {envelope.version}',
        )
    yield deltas.PACK_STEP_US
    try:
        chunks = yield from _unpack_steps(envelope, before)
    except deltas.DeltaError as error:
        raise _record_error(operator, str(error)) from error
    found = yield from _digest_steps(chunks)
    if found != envelope.text:
        raise _record_error(
            operator, 'the text does not match its signed digest'
        )
    bundle = yield from _parse_text_steps(chunks, envelope)
    return SignedBundle(
        bundle=bundle,
        chunks=chunks,
        digest=_digest(envelope),
        envelope=envelope
        if envelope.form is Form.delta
        else _without_text(envelope),
    )


def _unpack_steps(
    envelope: Envelope, before: SignedBundle | None
) -> bundles.Steps[tuple[str, ...]]:
    if envelope.form is Form.full:
        raw = yield from deltas.inflate_steps(envelope.packed)
        try:
            text = raw.decode()
        except UnicodeDecodeError as error:
            raise deltas.DeltaError('the text is not UTF-8') from error
        yield deltas.PACK_STEP_US
        return (yield from bundles.split_steps(text))
    if _full_due(envelope):
        raise deltas.DeltaError('a full record is due at this version')
    if before is None or before.text_digest != envelope.base:
        detail = f'the delta needs another text of version {envelope.follows}'
        raise BaseMismatchError(
            Failure(Step.bundle, envelope.operator, detail), envelope
        )
    return (yield from deltas.apply_steps(envelope.packed, before.chunks))


def _digest_steps(chunks: tuple[str, ...]) -> bundles.Steps[bytes]:
    digest = sha256()
    for start in range(0, len(chunks), deltas.CHUNKS_PER_STEP):
        digest.update(
            ''.join(chunks[start : start + deltas.CHUNKS_PER_STEP]).encode()
        )
        yield deltas.PACK_STEP_US
    return digest.digest()


def _parse_text_steps(
    chunks: tuple[str, ...], envelope: Envelope
) -> bundles.Steps[bundles.Bundle]:
    operator = envelope.operator
    try:
        bundle = yield from bundles.parse_steps(chunks, operator)
    except bundles.BundleError as error:
        raise _record_error(operator, '; '.join(error.problems[:3])) from error
    if (bundle.version, bundle.follows) != (envelope.version, envelope.follows):
        raise _record_error(
            operator, 'the text has another version than the record'
        )
    table = yield from RouteTable.build_steps(bundle)
    return replace(bundle, table=table)


def _shorter_payload(
    full: Envelope, follows: str, chunks: tuple[str, ...]
) -> bytes:
    payload = msgspec.msgpack.encode(full)
    if not follows or _full_due(full):
        return payload
    old = bundles.finish(bundles.split_steps(follows))
    packed = deltas.difference(old, chunks)
    if bundles.finish(deltas.apply_steps(packed, old)) != chunks:
        return payload
    delta = _with_fields(full, form=Form.delta, packed=packed)
    return min(msgspec.msgpack.encode(delta), payload, key=len)


def _full_due(envelope: Envelope) -> bool:
    return (
        envelope.follows // FULL_RECORD_INTERVAL
        < envelope.version // FULL_RECORD_INTERVAL
    )


def _with_fields(envelope: Envelope, **fields: object) -> Envelope:
    changed: Envelope = msgspec.structs.replace(envelope, **fields)
    return changed


def _without_text(envelope: Envelope) -> Envelope:
    # The payload of the record holds the packed text already.
    return _with_fields(envelope, packed=b'')


def _digest(envelope: Envelope) -> bytes:
    return sha256(envelope.message + envelope.signature).digest()


def _parse_key_entry(operator: str, entry: str) -> OperatorKey:
    match = _KEY_ENTRY.fullmatch(entry)
    if match is None:
        raise FailureError(
            Failure(
                Step.settings,
                operator,
                f'[operators] {operator}: {entry!r}: {_KEY_ENTRY_FORM}',
            ),
        )
    public, first, last = match.groups()
    return OperatorKey(
        public, int(first or 1), int(last or bundles.VERSION_LIMIT)
    )


def _decode(payload: bytes) -> Envelope:
    if len(payload) > RECORD_LIMIT_BYTES:
        raise _record_error('unknown operator', 'the record is too large')
    try:
        envelope = _decoder.decode(payload)
    except (msgspec.DecodeError, UnicodeDecodeError) as error:
        raise _record_error(
            'unknown operator',
            f'not a bundle record: {error}',
        ) from error
    if envelope.format != FORMAT:
        raise _record_error(
            envelope.operator,
            f'record format {envelope.format}, this daemon reads {FORMAT}',
        )
    # A second encoding of one record would have a second digest.
    if msgspec.msgpack.encode(envelope) != payload:
        raise _record_error(
            envelope.operator, 'the record encoding is not canonical'
        )
    return envelope


def _has_signed(key: OperatorKey, envelope: Envelope) -> bool:
    public = ed25519.Ed25519PublicKey.from_public_bytes(
        bytes.fromhex(key.public),
    )
    try:
        public.verify(envelope.signature, envelope.message)
    except InvalidSignature:
        return False
    return True


def _record_error(operator: str, detail: str) -> FailureError:
    return FailureError(Failure(Step.bundle, operator, detail))


def _signature_error(operator: str, detail: str) -> SignatureError:
    return SignatureError(Failure(Step.bundle, operator, detail))
