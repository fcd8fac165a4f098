"""Notes when requests begin to run at upstreams, for the reports of usage.

An engine's request begins with its first token, which its first event shows. A plain service's
request begins when the upstream has a place for it: its answer's time less the least time that
answers of its route take.
"""

from __future__ import annotations

import fcntl
import socket
import struct
import termios
from collections.abc import Callable

from jayyoke.core.route import RouteKind
from jayyoke.duties.truetime import TrueTime
from jayyoke.duties.usagecount import UsageCounter
from jayyoke.edge.call import Call
from jayyoke.edge.outcome import CANCELLED, Delivered, Failed, NotRun, Outcome
from jayyoke.edge.send import Send
from jayyoke.platform import names

# The least time follows a change of the work within some hundred answers.
LEAST_WEIGHT = 0.01
MAX_ROUTES = 4096


class UsageRecorder:
    """Counts each send once, when it has begun to run."""

    def __init__(self, counter: UsageCounter, true_time: TrueTime, now_s: Callable[[], float]):
        self._counter = counter
        self._true_time = true_time
        self._now_s = now_s
        self._least_s: dict[str, float] = {}

    def record_first_event(self, call: Call, send: Send) -> None:
        """Count a stream whose first event has come."""
        if not send.usage_counted:
            self._count(call, send, self._now_s())

    def record_end(self, call: Call, send: Send, outcome: Outcome) -> None:
        """Count an ended send that has begun and was not counted while it ran."""
        if send.usage_counted or not send.dispatched:
            return
        if isinstance(outcome, NotRun) and outcome is not CANCELLED:
            return
        answer = send.answer
        if answer is not None and answer.status in names.NOT_RUN_STATUSES:
            return
        if call.route.kind is RouteKind.STREAM:
            # The head of an engine's answer comes with the first token, which was lost.
            if answer is not None and 200 <= answer.status < 300:
                self._count(call, send, self._now_s())
            return
        if isinstance(outcome, Delivered | Failed):
            self._count(call, send, self._find_begin_s(call, send))
            return
        if answer is not None or is_delivered(send):
            self._count(call, send, send.sent_s)

    def _find_begin_s(self, call: Call, send: Send) -> float:
        answered_s = send.first_s if send.first_s is not None else self._now_s()
        took_s = answered_s - send.sent_s
        least_s = self._least_s.get(call.route.name, took_s)
        least_s = min(took_s, least_s + LEAST_WEIGHT * (took_s - least_s))
        if len(self._least_s) < MAX_ROUTES or call.route.name in self._least_s:
            self._least_s[call.route.name] = least_s
        return answered_s - least_s

    def _count(self, call: Call, send: Send, began_s: float) -> None:
        send.usage_counted = True
        if call.team is not None:
            self._counter.add(call.team, self._true_time.read_s(began_s))


def is_delivered(send: Send) -> bool:
    """Tell whether the upstream's host has acknowledged the whole request.

    An upstream that has ended since has got it as well, as far as can be known.
    """
    connection = send.connection
    transport = None if connection is None else connection.transport
    if connection is None or transport is None:
        return True
    opened: socket.socket | None = transport.get_extra_info("socket")
    if opened is None or opened.fileno() < 0:
        return True
    if connection.unsent_bytes:
        return False
    try:
        packed = fcntl.ioctl(opened.fileno(), termios.TIOCOUTQ, struct.pack("i", 0))
    except OSError:
        return True
    return struct.unpack("i", packed)[0] == 0
