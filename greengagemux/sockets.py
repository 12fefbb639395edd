"""Options of TCP connections that must not go silent unnoticed."""

import socket
from typing import Any, Final

#: An idle connection is checked after this long, and then as often, until
#: ``KEEP_ALIVE_TRIES`` checks in a row were not answered.
KEEP_ALIVE_S: Final = 1
KEEP_ALIVE_TRIES: Final = 3
#: Sent bytes that are not acknowledged for this long end a connection.
UNACKNOWLEDGED_MS: Final = 3000


def watch(transport: Any) -> None:
    """Let the system end a connection whose other end has gone silent.

    Transports without a socket, as in tests, are left alone.
    """
    found = getattr(transport, 'getHandle', lambda: None)()
    if not isinstance(found, socket.socket):
        return
    found.setsockopt(socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1)
    options = (
        (socket.TCP_KEEPIDLE, KEEP_ALIVE_S),
        (socket.TCP_KEEPINTVL, KEEP_ALIVE_S),
        (socket.TCP_KEEPCNT, KEEP_ALIVE_TRIES),
        (socket.TCP_USER_TIMEOUT, UNACKNOWLEDGED_MS),
    )
    for option, setting in options:
        found.setsockopt(socket.IPPROTO_TCP, option, setting)
