"""Framing: no message may be lost, altered or of unbounded size."""

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from greengagemux import frames
from greengagemux.outcomes import FailureError, Step

_sizes = st.integers(min_value=0, max_value=3 * frames.FRAGMENT_BYTES)


def _wire(payloads: list[bytes]) -> bytes:
    writer = frames.FrameWriter()
    wire = b''.join(writer.frames(payload) for payload in payloads)
    while writer.pending:
        wire += writer.next_fragment()
    return wire


@settings(derandomize=True, deadline=None)
@given(sizes=st.lists(_sizes, max_size=6), step=st.integers(1, 40000))
def test_messages_survive_any_split(sizes: list[int], step: int) -> None:
    """A cut at any byte must not lose or alter a message."""
    payloads = [bytes([n]) * size for n, size in enumerate(sizes)]
    wire = _wire(payloads)
    reader = frames.FrameReader('peer')
    got: list[bytes] = []
    for start in range(0, len(wire), step):
        got += reader.feed(wire[start : start + step])
    assert sorted(got) == sorted(payloads)
    assert not reader.partial


def test_long_message_does_not_block_a_short_one() -> None:
    """A short message must arrive before a long one queued earlier ends."""
    writer = frames.FrameWriter()
    long_part = writer.frames(b'l' * 10 * frames.FRAGMENT_BYTES)
    wire = long_part + writer.next_fragment() + writer.frames(b'short')
    reader = frames.FrameReader('peer')
    assert reader.feed(wire) == [b'short']
    assert reader.partial


@pytest.mark.parametrize('header', [b'\x00\x00\x00\x01', b'\x7f\xff\xff\xff'])
def test_bad_length_names_step_and_peer(header: bytes) -> None:
    """A bad length must fail at once, not make the reader wait or allocate."""
    with pytest.raises(FailureError) as caught:
        frames.FrameReader('peer-7').feed(header)
    assert caught.value.failure.step is Step.frame
    assert caught.value.failure.peer == 'peer-7'
