"""Build the timeline of one request, batch item or job from hosts' log lines."""

import collections.abc
import json

import attrs

# Context lines from shortly before the first line show the state that it met.
CONTEXT_S = 1.5
# Events that change a host's state, shown as context within the timeline.
STATE_EVENTS = frozenset(
    {
        "configuration",
        "host",
        "peer_heard",
        "peer_silent",
        "server",
        "server_ejected",
        "server_gone",
        "server_lapsed",
        "started",
        "stopping",
        "store_answers",
        "store_away",
        "store_back",
        "store_call_failed",
        "store_lost",
        "store_regained",
    }
)
# Fields with the id that a timeline is built for, and with the servers involved.
ID_FIELDS = ("request", "job")
SERVER_FIELDS = ("server",)
MAX_CONTEXT_LINES = 40  # the lines of the id itself are never truncated


@attrs.frozen
class LogLine:
    """Hold one log line: Unix seconds, the prefix before the JSON, and its fields."""

    at: float
    source: str
    event: str
    fields: dict

    def text(self) -> str:
        """Return the line in readable form."""
        shown = " ".join(f"{name}={value}" for name, value in self.fields.items())
        source = f"{self.source} " if self.source else ""
        return f"{self.at:.3f} {source}{self.event} {shown}".rstrip()


def parse(lines: collections.abc.Iterable[str]) -> list[LogLine]:
    """Return the structured lines and skip other programs' output."""
    parsed = []
    for line in lines:
        source, brace, rest = line.partition("{")
        if not brace:
            continue
        try:
            fields = json.loads(brace + rest)
            at, event = float(fields.pop("t")), str(fields.pop("event"))
        except (ValueError, KeyError, AttributeError, TypeError):
            continue
        parsed.append(LogLine(at, source.strip(), event, fields))
    return parsed


def build_timeline(lines: list[LogLine], searched_id: str) -> list[LogLine]:
    """Return an id's lines, its job's and the state changes meanwhile, by time.

    State changes of servers are included only for the servers that the id involves.
    """
    ids = {searched_id}
    timeline = [line for line in lines if _has_id(line, ids)]
    jobs = {line.fields["job"] for line in timeline if "job" in line.fields}
    if jobs - ids:
        timeline = [
            line for line in lines if _has_id(line, ids) or _is_job_line(line, jobs)
        ]
    if not timeline:
        return []
    start = min(line.at for line in timeline) - CONTEXT_S
    end = max(line.at for line in timeline)
    servers = {
        line.fields[f] for line in timeline for f in SERVER_FIELDS if f in line.fields
    }
    context = [
        line
        for line in lines
        if line.event in STATE_EVENTS
        and start <= line.at <= end
        and line.fields.get("server", None) in servers | {None}
        and line not in timeline
    ]
    shown = [*timeline, *context[:MAX_CONTEXT_LINES]]
    return sorted(shown, key=lambda line: line.at)


def _has_id(line: LogLine, ids: set[str]) -> bool:
    return any(line.fields.get(name) in ids for name in ID_FIELDS)


def _is_job_line(line: LogLine, jobs: set[str]) -> bool:
    """Return whether a line is about a job as such rather than one of its items."""
    return "request" not in line.fields and line.fields.get("job") in jobs
