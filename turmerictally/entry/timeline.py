"""Tell the story of one request, item or job from the hosts' log lines."""

import collections.abc
import json

import attrs

# What the hosts believed matters from a little before the first line of the story.
CONTEXT_S = 1.5
# Events that change what a host believes; told where they fall into the story.
BELIEFS = frozenset(
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
# Fields that name what a story is about, and what it touches.
ABOUT = ("request", "job")
TOUCHED = ("server",)
MAX_CONTEXT = 40  # lines; the story itself is never cut


@attrs.frozen
class LogLine:
    """Hold one log line: Unix seconds, the words before it, and its fields."""

    at: float
    source: str
    event: str
    fields: dict

    def text(self) -> str:
        """Return the line for a reader."""
        shown = " ".join(f"{name}={value}" for name, value in self.fields.items())
        source = f"{self.source} " if self.source else ""
        return f"{self.at:.3f} {source}{self.event} {shown}".rstrip()


def parse(lines: collections.abc.Iterable[str]) -> list[LogLine]:
    """Return the structured lines; what another program wrote between is left out."""
    found = []
    for line in lines:
        source, brace, rest = line.partition("{")
        if not brace:
            continue
        try:
            fields = json.loads(brace + rest)
            at, event = float(fields.pop("t")), str(fields.pop("event"))
        except (ValueError, KeyError, AttributeError, TypeError):
            continue
        found.append(LogLine(at, source.strip(), event, fields))
    return found


def build_timeline(lines: list[LogLine], found_id: str) -> list[LogLine]:
    """Return an id's lines, its job's, and what hosts learnt meanwhile, by time.

    Of what they learnt only that counts which is about the servers it met, or about
    the store, hosts and the configuration.
    """
    ids = {found_id}
    timeline = [line for line in lines if _names(line, ids)]
    jobs = {line.fields["job"] for line in timeline if "job" in line.fields}
    if jobs - ids:
        timeline = [line for line in lines if _names(line, ids) or _is_of(line, jobs)]
    if not timeline:
        return []
    start = min(line.at for line in timeline) - CONTEXT_S
    end = max(line.at for line in timeline)
    servers = {line.fields[f] for line in timeline for f in TOUCHED if f in line.fields}
    context = [
        line
        for line in lines
        if line.event in BELIEFS
        and start <= line.at <= end
        and line.fields.get("server", None) in servers | {None}
        and line not in timeline
    ]
    shown = [*timeline, *context[:MAX_CONTEXT]]
    return sorted(shown, key=lambda line: line.at)


def _names(line: LogLine, ids: set[str]) -> bool:
    return any(line.fields.get(name) in ids for name in ABOUT)


def _is_of(line: LogLine, jobs: set[str]) -> bool:
    """Return whether a line is about a job itself and not one of its items."""
    return "request" not in line.fields and line.fields.get("job") in jobs
