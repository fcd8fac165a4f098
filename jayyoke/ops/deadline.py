"""Deadlines of requests and expected durations."""

from __future__ import annotations

from jayyoke.core.code import DEADLINE_TOO_SHORT, refuse
from jayyoke.core.request import CallerRequest
from jayyoke.utils.ewma import Ewma

DEADLINE_HEADER = "X-Deadline-Ms"
MAX_CLASSES = 256


def get_remaining_s(request: CallerRequest, now_s: float) -> float:
    """Return the seconds until the request's deadline, at least 0."""
    return max(0.0, request.deadline_s - now_s)


def format_deadline(request: CallerRequest, now_s: float) -> str:
    """Return the value of the X-Deadline-Ms header, the milliseconds left."""
    return str(int(get_remaining_s(request, now_s) * 1000))


def parse_deadline(text: str | None, within_s: float) -> float:
    """Return the seconds a caller grants, at most `within_s`; raise Refusal if unreadable."""
    if text is None:
        return within_s
    if not (text.isascii() and text.isdigit() and len(text) <= 9):
        raise refuse(400, "header-invalid", f"{DEADLINE_HEADER} is not a number of milliseconds")
    if int(text) == 0:
        raise refuse(504, DEADLINE_TOO_SHORT, "the caller's deadline has already passed")
    return min(within_s, int(text) / 1000)


class Durations:
    """Tracks the mean duration of each class's requests, to shed those that cannot end in time."""

    __slots__ = ("_means",)

    def __init__(self) -> None:
        self._means: dict[str, Ewma] = {}

    def add(self, name: str, seconds: float) -> None:
        """Include the duration of one request of a class."""
        mean = self._means.get(name)
        if mean is None:
            if len(self._means) >= MAX_CLASSES:
                self._means.clear()
            mean = self._means[name] = Ewma()
        mean.add(seconds)

    def estimate_s(self, name: str) -> float:
        """Return the expected duration of a class's requests in seconds, 0 while unknown."""
        mean = self._means.get(name)
        return 0.0 if mean is None or mean.value is None else mean.value
