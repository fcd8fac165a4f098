"""The delay before a hedge: a percentile of the times to the first answer.

Load addressed: routes whose usual answer times differ and change over the day.
"""

from __future__ import annotations

from hdrh.histogram import HdrHistogram

PERCENTILE = 95.0
MIN_SAMPLES = 100
# Reading a percentile costs 0.3 ms, so it is read once per this many samples.
REFRESH_SAMPLES = 100
MAX_KEYS = 256
HIGHEST_US = 600_000_000
SIGNIFICANT_DIGITS = 2


class Delays:
    """Tracks a percentile of the answer times of each key, such as a route's name.

    With `recent_samples`, times older than twice that many samples of the key are forgotten.
    """

    __slots__ = ("_histograms", "_min_samples", "_percentile", "_recent_samples")

    def __init__(
        self,
        percentile: float = PERCENTILE,
        min_samples: int = MIN_SAMPLES,
        recent_samples: int | None = None,
    ):
        self._percentile = percentile
        self._min_samples = min_samples
        self._recent_samples = recent_samples
        self._histograms: dict[str, _RecentTimes] = {}

    def observe(self, key: str, seconds: float) -> None:
        """Include the time of one answer."""
        times = self._histograms.get(key)
        if times is None:
            if len(self._histograms) >= MAX_KEYS:
                return
            times = self._histograms[key] = _RecentTimes()
        times.histogram.record_value(min(HIGHEST_US, max(1, int(seconds * 1e6))))
        times.count += 1
        if times.count >= self._min_samples and times.count % REFRESH_SAMPLES == 0:
            times.delay_s = times.read_s(self._percentile)
        if self._recent_samples is not None and times.count % self._recent_samples == 0:
            times.rotate()

    def find_s(self, key: str) -> float | None:
        """Return the delay in seconds, or None before enough answers were seen."""
        times = self._histograms.get(key)
        return None if times is None else times.delay_s


class _RecentTimes:
    """Holds the newest times of one key, and those of the period before."""

    __slots__ = ("count", "delay_s", "histogram", "previous")

    def __init__(self) -> None:
        self.histogram = _build_histogram()
        self.previous: HdrHistogram | None = None
        self.count = 0
        self.delay_s: float | None = None

    def read_s(self, percentile: float) -> float:
        """Return a percentile of the times in seconds."""
        histogram = self.histogram
        if self.previous is not None:
            histogram = _build_histogram()
            histogram.add(self.histogram)
            histogram.add(self.previous)
        return histogram.get_value_at_percentile(percentile) / 1e6

    def rotate(self) -> None:
        """Begin a new period and forget the one before the last."""
        self.previous, self.histogram = self.histogram, _build_histogram()


def _build_histogram() -> HdrHistogram:
    return HdrHistogram(1, HIGHEST_US, SIGNIFICANT_DIGITS)
