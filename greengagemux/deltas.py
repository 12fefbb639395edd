"""Differences between the section chunks of two bundle texts."""

import zlib
from collections.abc import Sequence
from typing import Final, NoReturn

import msgspec

from .bundles import Steps, finish, splitting

#: Bounds the memory that a compressed text can take when it is opened.
TEXT_LIMIT_BYTES: Final = 16 * 1024 * 1024
#: Bytes inflated or deflated in one step, and its time in microseconds.
INFLATE_BYTES: Final = 16 * 1024
DEFLATE_BYTES: Final = 16 * 1024
PACK_STEP_US: Final = 500
#: Chunks joined, encoded or hashed in one step of ``PACK_STEP_US``.
JOIN_CHUNKS: Final = 2000


class DeltaError(ValueError):
    """A packed text or difference that cannot be used."""


class Edit(msgspec.Struct, frozen=True, array_like=True):
    """Replaces ``removed`` chunks from ``start`` by the text ``added``."""

    start: int
    removed: int
    added: str


_edits: Final = msgspec.msgpack.Decoder(list[Edit])


def difference(old: Sequence[str], new: Sequence[str]) -> bytes:
    """Return the packed edits that turn ``old`` into ``new``.

    Both are chunks of ``bundles.splitting``. A section that moves towards
    the start costs the text of the sections it passes.
    """
    places = {chunk: place for place, chunk in enumerate(old)}
    edits: list[Edit] = []
    kept = 0
    added: list[str] = []
    for chunk in new:
        place = places.get(chunk, -1)
        # The first chunk is the preamble, which has a place of its own.
        if place < kept or (place == 0) != (kept == 0 and not added):
            added.append(chunk)
            continue
        if added or place > kept:
            edits.append(Edit(kept, place - kept, ''.join(added)))
        kept = place + 1
        added = []
    if added or kept < len(old):
        edits.append(Edit(kept, len(old) - kept, ''.join(added)))
    return zlib.compress(msgspec.msgpack.encode(edits))


def applying(packed: bytes, old: Sequence[str]) -> Steps[tuple[str, ...]]:
    """Apply packed edits to the chunks that they were made from.

    Raises ``DeltaError``. The result is the same as from splitting the
    resulting text.
    """
    raw = yield from inflating(packed)
    try:
        edits = _edits.decode(raw)
    except (msgspec.MsgspecError, UnicodeDecodeError) as error:
        _refuse(f'the edits cannot be read: {error}')
    new: list[str] = []
    reached = 0
    for edit in edits:
        _check(edit, reached, len(old))
        new.extend(old[reached : edit.start])
        reached = edit.start + edit.removed
        pieces = yield from splitting(edit.added)
        if edit.start:
            if pieces[0]:
                _refuse('an edit does not start with a section')
            pieces = pieces[1:]
        new.extend(pieces)
    new.extend(old[reached:])
    yield PACK_STEP_US
    yield from _checking_ends(new)
    return tuple(new)


def inflating(packed: bytes) -> Steps[bytes]:
    """Unpack compressed data; raises ``DeltaError``."""
    inflater = zlib.decompressobj()
    parts: list[bytes] = []
    left = TEXT_LIMIT_BYTES
    for start in range(0, len(packed), INFLATE_BYTES):
        try:
            part = inflater.decompress(
                packed[start : start + INFLATE_BYTES], left + 1
            )
        except zlib.error as error:
            raise DeltaError(f'the text cannot be unpacked: {error}') from error
        parts.append(part)
        left -= len(part)
        if left < 0:
            _refuse('the text is cut off or too large')
        yield PACK_STEP_US
    if not inflater.eof or inflater.unused_data:
        _refuse('the text is cut off or too large')
    whole = b''.join(parts)
    yield PACK_STEP_US
    return whole


def deflating(chunks: Sequence[str]) -> Steps[bytes]:
    """Return the compressed text of chunks."""
    deflater = zlib.compressobj()
    parts: list[bytes] = []
    for start in range(0, len(chunks), JOIN_CHUNKS):
        raw = ''.join(chunks[start : start + JOIN_CHUNKS]).encode()
        for place in range(0, len(raw), DEFLATE_BYTES):
            parts.append(deflater.compress(raw[place : place + DEFLATE_BYTES]))
            yield PACK_STEP_US
    parts.append(deflater.flush())
    return b''.join(parts)


def packed_text(chunks: Sequence[str]) -> bytes:
    """Return the compressed text of chunks at once."""
    return finish(deflating(chunks))


def _checking_ends(chunks: Sequence[str]) -> Steps[None]:
    """Refuse a section that would swallow the header after it."""
    last = len(chunks) - 1
    for place, chunk in enumerate(chunks):
        if chunk and chunk[-1] != '\n' and place < last:
            _refuse('a section does not end its last line')
        if place % JOIN_CHUNKS == 0:
            yield PACK_STEP_US


def _check(edit: Edit, reached: int, length: int) -> None:
    if edit.removed < 0 or not reached <= edit.start <= length - edit.removed:
        _refuse('an edit is out of place')
    if edit.start == 0 and not edit.removed:
        _refuse('an edit stands before the first section')


def _refuse(detail: str) -> NoReturn:
    raise DeltaError(detail)
