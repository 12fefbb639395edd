"""Computes and applies deltas between two bundle texts, by sections.

Functions whose names end in ``_steps`` return ``Steps``; the time of each
step is estimated as ``PACK_STEP_US``.
"""

import zlib
from collections.abc import Sequence
from typing import Final, NoReturn

import msgspec

from .bundles import Steps, finish, split_steps

#: Largest size of an uncompressed text; bounds the memory it can use.
TEXT_LIMIT_BYTES: Final = 16 * 1024 * 1024
#: Bytes inflated or deflated in one step, and the estimated time of a step.
INFLATE_STEP_BYTES: Final = 16 * 1024
DEFLATE_STEP_BYTES: Final = 16 * 1024
PACK_STEP_US: Final = 500
#: Chunks joined, encoded or hashed in one step.
CHUNKS_PER_STEP: Final = 2000


class DeltaError(ValueError):
    """A compressed text or delta is malformed, too large or does not apply."""


class Edit(msgspec.Struct, frozen=True, array_like=True):
    """Replaces ``removed`` chunks from index ``start`` by the text ``added``."""

    start: int
    removed: int
    added: str


_edits: Final = msgspec.msgpack.Decoder(list[Edit])


def difference(old: Sequence[str], new: Sequence[str]) -> bytes:
    """Return the compressed edits that turn ``old`` into ``new``.

    Both are chunks from ``bundles.split_steps``. If a section moves towards
    the start, the sections that it passes are sent again in full.
    """
    places = {chunk: place for place, chunk in enumerate(old)}
    edits: list[Edit] = []
    kept = 0
    added: list[str] = []
    for chunk in new:
        place = places.get(chunk, -1)
        # The first chunk is the preamble; it matches only another preamble.
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


def apply_steps(packed: bytes, old: Sequence[str]) -> Steps[tuple[str, ...]]:
    """Apply compressed edits to the chunks that they were computed from.

    Returns the new chunks, which equal those of splitting the new text.
    Raises ``DeltaError``.
    """
    raw = yield from inflate_steps(packed)
    try:
        edits = _edits.decode(raw)
    except (msgspec.MsgspecError, UnicodeDecodeError) as error:
        _refuse(f'the edits cannot be decoded: {error}')
    new: list[str] = []
    reached = 0
    for edit in edits:
        _check(edit, reached, len(old))
        new.extend(old[reached : edit.start])
        reached = edit.start + edit.removed
        pieces = yield from split_steps(edit.added)
        if edit.start:
            if pieces[0]:
                _refuse(
                    'the text of an edit does not start with a section header'
                )
            pieces = pieces[1:]
        new.extend(pieces)
    new.extend(old[reached:])
    yield PACK_STEP_US
    yield from _check_ends_steps(new)
    return tuple(new)


def inflate_steps(packed: bytes) -> Steps[bytes]:
    """Return the uncompressed data; raises ``DeltaError``."""
    inflater = zlib.decompressobj()
    parts: list[bytes] = []
    left = TEXT_LIMIT_BYTES
    for start in range(0, len(packed), INFLATE_STEP_BYTES):
        try:
            part = inflater.decompress(
                packed[start : start + INFLATE_STEP_BYTES], left + 1
            )
        except zlib.error as error:
            raise DeltaError(
                f'the text cannot be decompressed: {error}'
            ) from error
        parts.append(part)
        left -= len(part)
        if left < 0:
            _refuse('the text is truncated or too large')
        yield PACK_STEP_US
    if not inflater.eof or inflater.unused_data:
        _refuse('the text is truncated or too large')
    whole = b''.join(parts)
    yield PACK_STEP_US
    return whole


def deflate_steps(chunks: Sequence[str]) -> Steps[bytes]:
    """Return the compressed text of chunks."""
    deflater = zlib.compressobj()
    parts: list[bytes] = []
    for start in range(0, len(chunks), CHUNKS_PER_STEP):
        raw = ''.join(chunks[start : start + CHUNKS_PER_STEP]).encode()
        for place in range(0, len(raw), DEFLATE_STEP_BYTES):
            parts.append(
                deflater.compress(raw[place : place + DEFLATE_STEP_BYTES])
            )
            yield PACK_STEP_US
    parts.append(deflater.flush())
    return b''.join(parts)


def packed_text(chunks: Sequence[str]) -> bytes:
    """Return the compressed text of chunks without interruption."""
    return finish(deflate_steps(chunks))


def _check_ends_steps(chunks: Sequence[str]) -> Steps[None]:
    """Reject a section without a final newline before the next header."""
    last = len(chunks) - 1
    for place, chunk in enumerate(chunks):
        if chunk and chunk[-1] != '\n' and place < last:
            _refuse('a section before the last one does not end with a newline')
        if place % CHUNKS_PER_STEP == 0:
            yield PACK_STEP_US


def _check(edit: Edit, reached: int, length: int) -> None:
    if edit.removed < 0 or not reached <= edit.start <= length - edit.removed:
        _refuse('an edit overlaps another one or exceeds the old text')
    if edit.start == 0 and not edit.removed:
        _refuse('an edit inserts text before the preamble')


def _refuse(detail: str) -> NoReturn:
    raise DeltaError(detail)
