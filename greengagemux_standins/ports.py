"""Blocks of free ports for fleets of stand-ins."""

import random
import socket
from contextlib import ExitStack

from .servers import LOOPBACK

#: Ports below this are not used by the kernel for outgoing connections.
_BASES = range(10_000, 31_000, 700)
_BLOCK = 600
#: The last port of a block that this process chose, bound until it ends, so
#: that another process does not choose the same block at the same time.
_reserved: list[socket.socket] = []


def free_base_port() -> int:
    """Return a base whose block of ports is free, and reserve the block.

    Raises ``OSError`` when there is none.
    """
    bases = list(_BASES)
    random.shuffle(bases)
    for base in bases:
        last = base + _BLOCK - 1
        if _reserve(last) and _all_free(range(base, last)):
            return base
    raise OSError('no block of ports is free')


def _reserve(port: int) -> bool:
    one = socket.socket()
    try:
        one.bind((LOOPBACK, port))
    except OSError:
        one.close()
        return False
    _reserved.append(one)
    return True


def _all_free(ports: range) -> bool:
    with ExitStack() as opened:
        for port in ports:
            one = opened.enter_context(socket.socket())
            one.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
            try:
                one.bind((LOOPBACK, port))
            except OSError:
                return False
    return True
