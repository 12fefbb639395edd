"""Blocks of free ports for fleets of stand-ins."""

import random
import socket
from contextlib import ExitStack

from .servers import LOOPBACK

#: First ports of the blocks; the kernel assigns none of these ports to
#: outgoing connections. Two test runs at the same time reserve 34 blocks.
_FIRST_PORTS = range(10_000, 32_100, 605)
#: Size of a block; its last port is that of the reservation.
BLOCK_PORTS = 600
#: Sockets bound to the last port of each block that this process selected.
#: They stay open until the process ends, so that another process does not
#: select the same block.
_reserved: list[socket.socket] = []


def free_base_port() -> int:
    """Return the first port of a free block, and reserve the block.

    Raises ``OSError`` if no block is free.
    """
    first_ports = list(_FIRST_PORTS)
    random.shuffle(first_ports)
    for first_port in first_ports:
        last = first_port + BLOCK_PORTS - 1
        if _reserve(last) and _all_free(range(first_port, last)):
            return first_port
    raise OSError('no free block of ports')


def _reserve(port: int) -> bool:
    sock = socket.socket()
    try:
        sock.bind((LOOPBACK, port))
    except OSError:
        sock.close()
        return False
    _reserved.append(sock)
    return True


def _all_free(ports: range) -> bool:
    with ExitStack() as opened:
        for port in ports:
            sock = opened.enter_context(socket.socket())
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
            try:
                sock.bind((LOOPBACK, port))
            except OSError:
                return False
    return True
