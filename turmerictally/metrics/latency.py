"""Record latencies by team in a bounded number of histograms."""

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

UNIT_S = 0.0001  # seconds of one histogram unit
MAX_S = 3600.0
DIGITS = 2
OTHER = "other"
REVIEW_S = 60.0  # between choices of the teams that have histograms of their own
MIN_COUNT = 20  # values below which a team's percentile says little


class Measure(enum.Enum):
    """Name what is timed."""

    FIRST_TOKEN = "first_token"
    TOKEN_GAP = "token_gap"
    WHOLE_ANSWER = "whole_answer"


class Work(enum.Enum):
    """Tell online requests from batch items."""

    ONLINE = "online"
    BATCH = "batch"


@attrs.frozen
class Series:
    """Name one histogram."""

    team: str
    measure: Measure
    work: Work


Histograms = dict[Series, hdrh.histogram.HdrHistogram]


class Latencies:
    """Hold a host's histograms; teams beyond the busiest share ``other``.

    A team that is no longer among the busiest leaves its values to ``other``, so no
    value is ever lost.
    """

    def __init__(self, max_teams: int, now: clock.Clock | None = None) -> None:
        self.max_teams = max_teams
        self.clock = now or clock.Clock()
        self.histograms: Histograms = {}
        self.activity: collections.Counter[str] = collections.Counter()
        self.own: set[str] = set()
        self.review_at = self.clock.monotonic() + REVIEW_S

    def record(self, measure: Measure, work: Work, team: str, seconds: float) -> None:
        """Count one value in seconds; values above an hour count as an hour."""
        if self.clock.monotonic() >= self.review_at:
            self._review()
        self.activity[team] += 1
        if team not in self.own and len(self.own) < self.max_teams:
            self.own.add(team)
        name = team if team in self.own else OTHER
        histogram = _find(self.histograms, Series(name, measure, work))
        histogram.record_value(_to_units(seconds))

    def _review(self) -> None:
        self.review_at = self.clock.monotonic() + REVIEW_S
        busiest = {team for team, _ in self.activity.most_common(self.max_teams)}
        for series in list(self.histograms):
            if series.team != OTHER and series.team not in busiest:
                _move_to_other(self.histograms, series)
        self.own = busiest
        self.activity = collections.Counter(
            {team: count // 2 for team, count in self.activity.items() if count > 1}
        )


def encode(histograms: Histograms) -> bytes:
    """Return histograms in a form that ``merge`` reads."""
    rows = [
        [series.team, series.measure.value, series.work.value, _encoded(histogram)]
        for series, histogram in histograms.items()
    ]
    return json.dumps(rows).encode()


def encode_totals(histograms: Histograms) -> bytes:
    """Return the sums over all teams, under ``other``, for ``merge``."""
    totals: Histograms = {}
    for series, histogram in histograms.items():
        _find(totals, attrs.evolve(series, team=OTHER)).add(histogram)
    return encode(totals)


async def merge(encoded: collections.abc.Iterable[bytes], max_teams: int) -> Histograms:
    """Return the sum of many hosts' histograms, again with bounded teams.

    Raises ``ValueError`` for what ``encode`` did not write. Other tasks run between
    two histograms.
    """
    merged: Histograms = {}
    for part in encoded:
        for series, histogram in _decode(part):
            _find(merged, series).add(histogram)
            await trio.lowlevel.checkpoint()
    _bound(merged, max_teams)
    return merged


def sum_over_teams(
    histograms: Histograms, measure: Measure, work: Work
) -> hdrh.histogram.HdrHistogram:
    """Return the sum over all teams."""
    result = _new()
    for series, histogram in histograms.items():
        if (series.measure, series.work) == (measure, work):
            result.add(histogram)
    return result


def cumulative_counts(histogram: hdrh.histogram.HdrHistogram) -> list[int]:
    """Return how many values do not exceed each of ``upper_bounds``."""
    return list(itertools.accumulate(bucket_counts(histogram)))


def bucket_counts(histogram: hdrh.histogram.HdrHistogram) -> list[int]:
    """Return the count of each cell."""
    # One cast is 20 times faster than reading the library's array cell by cell.
    return memoryview(histogram.counts).cast("B").cast("Q").tolist()


@functools.cache
def upper_bounds() -> list[float]:
    """Return the upper bounds of a histogram's cells, in seconds."""
    empty = _new()
    values = map(empty.get_value_from_index, range(empty.counts_len))
    return [empty.get_highest_equivalent_value(v) * UNIT_S for v in values]


def percentile(histogram: hdrh.histogram.HdrHistogram, share: float) -> float:
    """Return the value in seconds that ``share`` percent do not exceed."""
    return percentile_from_counts(cumulative_counts(histogram), share)


def percentile_from_counts(counts: list[int], share: float) -> float:
    """Return the same from cumulative counts; 0 when they are empty."""
    if counts[-1] == 0:
        return 0.0
    rank = max(1, int(counts[-1] * share / 100 + 0.5))  # as the library rounds
    return upper_bounds()[bisect.bisect_left(counts, rank)]


def worst_served(
    histograms: Histograms, measure: Measure, work: Work, share: float
) -> tuple[str, float] | None:
    """Return the team with the highest percentile and its value in seconds."""
    found = [
        (percentile(histogram, share), series.team)
        for series, histogram in histograms.items()
        if (series.measure, series.work) == (measure, work)
        and histogram.get_total_count() >= MIN_COUNT
    ]
    if not found:
        return None
    value, team = max(found)
    return team, value


def _bound(histograms: Histograms, max_teams: int) -> None:
    counts: collections.Counter[str] = collections.Counter()
    for series, histogram in histograms.items():
        if series.team != OTHER:
            counts[series.team] += histogram.get_total_count()
    kept = {team for team, _ in counts.most_common(max_teams)}
    for series in list(histograms):
        if series.team != OTHER and series.team not in kept:
            _move_to_other(histograms, series)


def _move_to_other(histograms: Histograms, series: Series) -> None:
    histogram = histograms.pop(series)
    _find(histograms, attrs.evolve(series, team=OTHER)).add(histogram)


def _find(histograms: Histograms, series: Series) -> hdrh.histogram.HdrHistogram:
    if series not in histograms:
        histograms[series] = _new()
    return histograms[series]


def _decode(
    part: bytes,
) -> collections.abc.Iterator[tuple[Series, hdrh.histogram.HdrHistogram]]:
    try:
        for team, measure, work, encoded in json.loads(part):
            series = Series(str(team), Measure(measure), Work(work))
            yield series, hdrh.histogram.HdrHistogram.decode(encoded)
    except Exception as error:
        # The library raises many types for a broken encoding.
        raise ValueError("not encoded histograms") from error


def _encoded(histogram: hdrh.histogram.HdrHistogram) -> str:
    return histogram.encode().decode("ascii")


def _new() -> hdrh.histogram.HdrHistogram:
    return hdrh.histogram.HdrHistogram(1, int(MAX_S / UNIT_S), DIGITS)


def _to_units(seconds: float) -> int:
    return max(1, min(int(MAX_S / UNIT_S), round(seconds / UNIT_S)))
