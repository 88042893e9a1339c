"""Record latencies per team in a bounded number of histograms."""

import bisect
import collections
import collections.abc
import enum
import functools
import itertools
import json

import attrs
import hdrh.histogram
import trio

from turmerictally import clock

UNIT_S = 0.0001  # resolution of a histogram
MAX_LATENCY_S = 3600.0  # larger values are recorded as this one
SIGNIFICANT_DIGITS = 2
OTHER = "other"  # label of the histograms shared by the remaining teams
REVIEW_INTERVAL_S = 60.0  # between selections of the teams with their own histograms
MIN_COUNT = 20  # a percentile of fewer values is not meaningful


class Measure(enum.Enum):
    """Which interval of a request is timed."""

    FIRST_TOKEN = "first_token"
    TOKEN_GAP = "token_gap"
    WHOLE_ANSWER = "whole_answer"


class Work(enum.Enum):
    """Whether a latency belongs to an online request or a batch item."""

    ONLINE = "online"
    BATCH = "batch"


@attrs.frozen
class Series:
    """Identify one histogram by its labels."""

    team: str
    measure: Measure
    work: Work


Histograms = dict[Series, hdrh.histogram.HdrHistogram]


class Latencies:
    """Hold a host's histograms; all but the busiest teams share ``other``.

    When a team is no longer among the busiest, its values are added to ``other``, so
    that the sums over all teams stay complete.
    """

    def __init__(self, max_teams: int, now: clock.Clock | None = None) -> None:
        self.max_teams = max_teams
        self.clock = now or clock.Clock()
        self.histograms: Histograms = {}
        self.recent_counts: collections.Counter[str] = collections.Counter()
        self.named_teams: set[str] = set()
        self.next_review_at = self.clock.monotonic() + REVIEW_INTERVAL_S

    def record(self, measure: Measure, work: Work, team: str, seconds: float) -> None:
        """Record one latency; values above an hour are recorded as an hour."""
        if self.clock.monotonic() >= self.next_review_at:
            self._select_busiest_teams()
        self.recent_counts[team] += 1
        if team not in self.named_teams and len(self.named_teams) < self.max_teams:
            self.named_teams.add(team)
        label = team if team in self.named_teams else OTHER
        histogram = _get_or_create(self.histograms, Series(label, measure, work))
        record_seconds(histogram, seconds)

    def _select_busiest_teams(self) -> None:
        self.next_review_at = self.clock.monotonic() + REVIEW_INTERVAL_S
        busiest = {team for team, _ in self.recent_counts.most_common(self.max_teams)}
        for series in list(self.histograms):
            if series.team != OTHER and series.team not in busiest:
                _move_to_other(self.histograms, series)
        self.named_teams = busiest
        # Halving the counts lets recent traffic outweigh older traffic.
        self.recent_counts = collections.Counter(
            {
                team: count // 2
                for team, count in self.recent_counts.items()
                if count > 1
            }
        )


def encode(histograms: Histograms) -> bytes:
    """Serialize histograms for ``merge``."""
    rows = [
        [
            series.team,
            series.measure.value,
            series.work.value,
            _encode_histogram(histogram),
        ]
        for series, histogram in histograms.items()
    ]
    return json.dumps(rows).encode()


def encode_totals(histograms: Histograms) -> bytes:
    """Serialize the sums over all teams, labelled ``other``, for ``merge``."""
    totals: Histograms = {}
    for series, histogram in histograms.items():
        _get_or_create(totals, attrs.evolve(series, team=OTHER)).add(histogram)
    return encode(totals)


async def merge(encoded: collections.abc.Iterable[bytes], max_teams: int) -> Histograms:
    """Return the sum of several hosts' histograms, with at most ``max_teams`` teams.

    Raises ``ValueError`` for input that ``encode`` did not write. Yields to other
    tasks after each histogram.
    """
    merged: Histograms = {}
    for body in encoded:
        for series, histogram in _decode(body):
            _get_or_create(merged, series).add(histogram)
            await trio.lowlevel.checkpoint()
    _limit_teams(merged, max_teams)
    return merged


def sum_over_teams(
    histograms: Histograms, measure: Measure, work: Work
) -> hdrh.histogram.HdrHistogram:
    """Return one histogram with the values of all teams."""
    merged = new_histogram()
    for series, histogram in histograms.items():
        if (series.measure, series.work) == (measure, work):
            merged.add(histogram)
    return merged


def cumulative_counts(histogram: hdrh.histogram.HdrHistogram) -> list[int]:
    """Return, for each of ``upper_bounds``, the number of values at or below it."""
    return list(itertools.accumulate(bucket_counts(histogram)))


def bucket_counts(histogram: hdrh.histogram.HdrHistogram) -> list[int]:
    """Return the number of values in each bucket."""
    # One cast is 20 times faster than reading the library's array element by element.
    return memoryview(histogram.counts).cast("B").cast("Q").tolist()


@functools.cache
def upper_bounds() -> list[float]:
    """Return the upper bounds of a histogram's buckets, in seconds."""
    empty = new_histogram()
    values = map(empty.get_value_from_index, range(empty.counts_len))
    return [empty.get_highest_equivalent_value(v) * UNIT_S for v in values]


def percentile(histogram: hdrh.histogram.HdrHistogram, percent: float) -> float:
    """Return the ``percent``-th percentile in seconds."""
    return percentile_from_counts(cumulative_counts(histogram), percent)


def percentile_from_counts(counts: list[int], percent: float) -> float:
    """Return a percentile in seconds from cumulative counts; 0 without values."""
    if counts[-1] == 0:
        return 0.0
    rank = max(1, int(counts[-1] * percent / 100 + 0.5))  # rounded like HdrHistogram
    return upper_bounds()[bisect.bisect_left(counts, rank)]


def worst_served(
    histograms: Histograms, measure: Measure, work: Work, percent: float
) -> tuple[str, float] | None:
    """Return the team with the highest percentile and that percentile in seconds.

    Teams with fewer than ``MIN_COUNT`` values are skipped.
    """
    percentiles = [
        (percentile(histogram, percent), series.team)
        for series, histogram in histograms.items()
        if (series.measure, series.work) == (measure, work)
        and histogram.get_total_count() >= MIN_COUNT
    ]
    if not percentiles:
        return None
    value, team = max(percentiles)
    return team, value


def _limit_teams(histograms: Histograms, max_teams: int) -> None:
    counts: collections.Counter[str] = collections.Counter()
    for series, histogram in histograms.items():
        if series.team != OTHER:
            counts[series.team] += histogram.get_total_count()
    busiest = {team for team, _ in counts.most_common(max_teams)}
    for series in list(histograms):
        if series.team != OTHER and series.team not in busiest:
            _move_to_other(histograms, series)


def _move_to_other(histograms: Histograms, series: Series) -> None:
    histogram = histograms.pop(series)
    _get_or_create(histograms, attrs.evolve(series, team=OTHER)).add(histogram)


def _get_or_create(
    histograms: Histograms, series: Series
) -> hdrh.histogram.HdrHistogram:
    if series not in histograms:
        histograms[series] = new_histogram()
    return histograms[series]


def _decode(
    body: bytes,
) -> collections.abc.Iterator[tuple[Series, hdrh.histogram.HdrHistogram]]:
    try:
        for team, measure, work, encoded in json.loads(body):
            series = Series(str(team), Measure(measure), Work(work))
            yield series, hdrh.histogram.HdrHistogram.decode(encoded)
    except Exception as error:
        # HdrHistogram raises many exception types for invalid input.
        raise ValueError(
            f"expected encoded histograms, got {len(body)} invalid bytes"
        ) from error


def _encode_histogram(histogram: hdrh.histogram.HdrHistogram) -> str:
    return histogram.encode().decode("ascii")


def new_histogram() -> hdrh.histogram.HdrHistogram:
    """Return an empty histogram of ``UNIT_S`` units."""
    return hdrh.histogram.HdrHistogram(
        1, int(MAX_LATENCY_S / UNIT_S), SIGNIFICANT_DIGITS
    )


def record_seconds(histogram: hdrh.histogram.HdrHistogram, seconds: float) -> None:
    """Record a duration; one above an hour is recorded as an hour."""
    units = max(1, min(int(MAX_LATENCY_S / UNIT_S), round(seconds / UNIT_S)))
    histogram.record_value(units)
