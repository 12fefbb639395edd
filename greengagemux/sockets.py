"""Keep-alive options and unsent output of TCP connections."""

import socket
import sys
from fcntl import ioctl
from termios import TIOCOUTQ
from typing import Any, Final

#: Idle time before the first keep-alive probe, and the interval between
#: probes. ``KEEP_ALIVE_PROBES`` unanswered ones in a row end the connection.
KEEP_ALIVE_S: Final = 1
KEEP_ALIVE_PROBES: Final = 3
#: Sent bytes that stay unacknowledged for this long end a connection.
UNACKNOWLEDGED_LIMIT_MS: Final = 3000

#: Size of the integer that ``TIOCOUTQ`` returns.
_INT_BYTES: Final = 4


def enable_keep_alive(transport: Any) -> None:
    """Let the kernel end a connection whose other end does not respond.

    Transports without a socket, as in tests, are not changed.
    """
    handle = getattr(transport, 'getHandle', lambda: None)()
    if not isinstance(handle, socket.socket):
        return
    handle.setsockopt(socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1)
    options = (
        (socket.TCP_KEEPIDLE, KEEP_ALIVE_S),
        (socket.TCP_KEEPINTVL, KEEP_ALIVE_S),
        (socket.TCP_KEEPCNT, KEEP_ALIVE_PROBES),
        (socket.TCP_USER_TIMEOUT, UNACKNOWLEDGED_LIMIT_MS),
    )
    for option, setting in options:
        handle.setsockopt(socket.IPPROTO_TCP, option, setting)


def unsent_bytes(transport: Any) -> int:
    """Return how many written bytes the host at the other end may not have.

    They wait in the transport, or in the kernel for an acknowledgement.
    """
    # TLS wraps the transport of the connection.
    connection = getattr(transport, 'transport', transport)
    buffered = getattr(connection, 'dataBuffer', b'')
    waiting_bytes = len(buffered) - getattr(connection, 'offset', 0)
    waiting_bytes += getattr(connection, '_tempDataLen', 0)
    handle = getattr(connection, 'getHandle', lambda: None)()
    if not isinstance(handle, socket.socket):
        return waiting_bytes
    try:
        queued = ioctl(handle, TIOCOUTQ, bytes(_INT_BYTES))
    except (OSError, ValueError):
        # A socket that has been closed has no number.
        return waiting_bytes
    return waiting_bytes + int.from_bytes(queued, sys.byteorder)
