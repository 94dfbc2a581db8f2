"""Options of the daemons' TCP sockets."""

import contextlib
import socket

KEEPALIVE_INTERVAL_S = 1
KEEPALIVE_PROBES = 2
# A keepalive probe goes out after half the silence that is borne, so that two probes fit in.
KEEPALIVE_IDLE_MS_PER_S = 2000


def set_silence_limit(sock: socket.socket, silence_ms: float) -> None:
    """Makes a connection notice within `silence_ms` that its other end is gone.

    Options that the system doesn't have are left out.
    """
    idle_s = max(1, int(silence_ms / KEEPALIVE_IDLE_MS_PER_S))
    options = (
        (socket.IPPROTO_TCP, socket.TCP_NODELAY, 1),
        (socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, int(silence_ms)),
        (socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1),
        (socket.IPPROTO_TCP, socket.TCP_KEEPIDLE, idle_s),
        (socket.IPPROTO_TCP, socket.TCP_KEEPINTVL, KEEPALIVE_INTERVAL_S),
        (socket.IPPROTO_TCP, socket.TCP_KEEPCNT, KEEPALIVE_PROBES),
    )
    sock.setsockopt(*options[0])
    for level, option, value in options[1:]:
        with contextlib.suppress(OSError):
            sock.setsockopt(level, option, value)
