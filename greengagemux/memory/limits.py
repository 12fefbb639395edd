"""Shares of the memory and of the file descriptors of a host.

They address clients that send more than a host can hold: each of the limits
below is safe alone, and their sum must fit into the memory of the host too.
"""

from dataclasses import dataclass
from typing import Final

MEGABYTE: Final = 1_000_000
#: Memory of hosts whose settings name none; with it the limits that bound
#: responses and frames are as large as they ever are.
DEFAULT_MEMORY_MB: Final = 300
#: Memory of an idle daemon (59 MB measured), with what grows with the fleet,
#: such as member tables and queued log lines.
BASE_MB: Final = 70
#: Least that is divided, so that small hosts still serve small requests.
LEAST_MB: Final = 10

#: Shares of the memory that an idle daemon leaves. At ``DEFAULT_MEMORY_MB``
#: they equal the fixed limits of the modules that use them, which are upper
#: bounds at any size.
UNSENT_SHARE: Final = 0.292
RESPONSES_SHARE: Final = 0.146
UNREAD_SHARE: Final = 0.146
RETAINED_SHARE: Final = 0.073
INCOMING_SHARE: Final = 0.07
#: The rest is for requests, except for copies that exist while one of them is
#: decoded or encoded.
REQUESTS_SHARE: Final = 0.65
#: Part of the room for copies that the largest body takes; a buffer that grows
#: is up to an eighth larger than its content.
BODY_SHARE: Final = 0.85
_MEBIBYTE: Final = 1024 * 1024
UNSENT_LIMIT_BYTES: Final = 64 * _MEBIBYTE
RESPONSES_LIMIT_BYTES: Final = 32 * _MEBIBYTE
UNREAD_LIMIT_BYTES: Final = 32 * _MEBIBYTE
RETAINED_LIMIT_BYTES: Final = 16 * _MEBIBYTE
INCOMING_LIMIT_BYTES: Final = 32 * _MEBIBYTE
#: Largest body of a request on any host. It is the largest that fits on a host
#: of 200 MB, as a request may run beside any host.
BODY_LIMIT_BYTES: Final = 10 * _MEBIBYTE

#: Descriptors of a host that are for files.
FILE_DESCRIPTORS: Final = 200
#: Parts of the other descriptors, in percent, for caller connections and for
#: streams that peers open. The rest is for streams that this daemon opens, for
#: connections to upstreams, and for those that are accepted and closed at once.
CALLERS_PCT: Final = 75
INBOUND_PCT: Final = 10
#: Limits without a known number of descriptors, and upper bounds with one. Each
#: of 650 peers needs one stream, and a second while a silent one is replaced.
CONNECTION_LIMIT: Final = 20_000
INBOUND_LIMIT: Final = 2000


@dataclass(frozen=True, slots=True)
class HostLimits:
    """Limits of one daemon process."""

    #: Requests from the first byte of a body until they are answered.
    request_bytes: int
    #: Body of one request.
    body_bytes: int
    #: Frames that peers have not read.
    unsent_bytes: int
    #: Unfinished responses of upstreams.
    response_bytes: int
    #: Responses that callers have not read.
    unread_bytes: int
    #: Answers that are kept for ingress daemons that lost their stream.
    retained_bytes: int
    #: Messages of peers under reassembly, other than requests.
    incoming_bytes: int
    #: Open connections of callers.
    connections: int = CONNECTION_LIMIT
    #: Streams that peers have opened.
    inbound_streams: int = INBOUND_LIMIT


def host_limits(
    memory_mb: int = DEFAULT_MEMORY_MB, max_fds: int | None = None
) -> HostLimits:
    """Return the limits for a host."""
    spare_bytes = max(memory_mb - BASE_MB, LEAST_MB) * MEGABYTE
    unsent_bytes = min(UNSENT_LIMIT_BYTES, int(UNSENT_SHARE * spare_bytes))
    response_bytes = min(
        RESPONSES_LIMIT_BYTES, int(RESPONSES_SHARE * spare_bytes)
    )
    unread_bytes = min(UNREAD_LIMIT_BYTES, int(UNREAD_SHARE * spare_bytes))
    retained_bytes = min(
        RETAINED_LIMIT_BYTES, int(RETAINED_SHARE * spare_bytes)
    )
    incoming_bytes = min(
        INCOMING_LIMIT_BYTES, int(INCOMING_SHARE * spare_bytes)
    )
    others = (
        unsent_bytes,
        response_bytes,
        unread_bytes,
        retained_bytes,
        incoming_bytes,
    )
    left_bytes = spare_bytes - sum(others)
    request_bytes = int(REQUESTS_SHARE * left_bytes)
    copies_bytes = left_bytes - request_bytes
    return HostLimits(
        request_bytes,
        min(BODY_LIMIT_BYTES, int(BODY_SHARE * copies_bytes)),
        *others,
        connections=_part(max_fds, CALLERS_PCT, CONNECTION_LIMIT),
        inbound_streams=_part(max_fds, INBOUND_PCT, INBOUND_LIMIT),
    )


def _part(max_fds: int | None, pct: int, limit: int) -> int:
    if max_fds is None:
        return limit
    return min(limit, max(1, (max_fds - FILE_DESCRIPTORS) * pct // 100))
