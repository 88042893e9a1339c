"""Play days of the users' bench at this commit and compare them with earlier plays."""

import argparse
import concurrent.futures
import json
import pathlib
import re
import subprocess
import sys

import attrs

ROW = re.compile(
    r"^(?P<day>\S+) +(?P<hosts>\d+)/\d+ +(?P<score>[\d.-]+) +(?P<worth>[\d.-]+) "
    r"+(?P<served>[\d.-]+) +(?P<refused>[\d.-]+) +(?P<failed>[\d.-]+) +(?P<rest>.*)$"
)
CORES = re.compile(r"^entry +\S+ +\d+ +(?P<mean>[\d.]+) +(?P<most>[\d.]+)")
RULES = re.compile(r"^rules broken: (?P<rules>.*)$")
GIVEN_UP = re.compile(r"given up|processor time")
FALL = 0.03  # of worth below an earlier play that counts as a fall


@attrs.frozen
class Played:
    """Hold what one play showed; ``cores`` is a host's mean share of a core."""

    site: str
    day: str
    worth: float | None = None
    score: float | None = None
    served: float | None = None
    refused: float | None = None
    failed: float | None = None
    cores: float | None = None
    rules: str = ""
    given_up: bool = False


def read(site: str, day: str, text: str) -> Played:
    """Return what a play's printed report shows."""
    found: dict = {}
    for line in text.splitlines():
        if row := ROW.match(line):
            names = ("worth", "score", "served", "refused", "failed")
            found |= {name: float(row[name]) for name in names}
            found["given_up"] = bool(GIVEN_UP.search(row["rest"]))
        elif cores := CORES.match(line):
            found["cores"] = float(cores["mean"])
        elif rules := RULES.match(line):
            found["rules"] = rules["rules"]
    return Played(site, day, **found)


def play(arguments: argparse.Namespace, site: pathlib.Path, day: str) -> Played:
    """Play one day and keep its report."""
    command = [arguments.bench, "run", str(site), day, "--why", arguments.why]
    done = subprocess.run(
        command, cwd=arguments.repository, capture_output=True, text=True, check=False
    )
    report = arguments.reports / f"{site.stem}-{day}.txt"
    report.write_text(done.stdout + done.stderr, encoding="utf-8")
    played = read(site.stem, day, done.stdout)
    print(json.dumps(attrs.asdict(played)), flush=True)
    return played


def table(played: list[Played], before: list[Played]) -> str:
    """Return a Markdown table of plays, beside earlier ones where there are any."""
    earlier = {(each.site, each.day): each for each in before}
    lines = [
        "| Day | Worth | Before | Served | Refused | Failed | Cores a host | Rules |",
        "|---|---|---|---|---|---|---|---|",
    ]
    for each in sorted(played, key=lambda p: (p.site, p.day)):
        old = earlier.get((each.site, each.day))
        remarks = [each.rules or "none broken"]
        if each.given_up:
            remarks.append("given up")
        if old and None not in (old.worth, each.worth) and fell(each, old):
            remarks.append("fell")
        values = (each.worth, old and old.worth, each.served, each.refused, each.failed)
        cells = [f"{each.site} {each.day}", *map(_cell, values), _cell(each.cores)]
        lines.append(f"| {' | '.join(cells)} | {', '.join(remarks)} |")
    return "\n".join(lines)


def fell(played: Played, before: Played) -> bool:
    """Return whether a day is worth less than before by more than noise."""
    return played.worth < before.worth - FALL


def _cell(value: float | None) -> str:
    return "" if value is None else f"{value:.4g}"


def _load(path: pathlib.Path) -> list[Played]:
    lines = path.read_text(encoding="utf-8").splitlines()
    return [Played(**json.loads(line)) for line in lines]


def main() -> int:
    """Play the days given as SITE-FILE:DAY and print the table."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--bench", required=True, help="the bench's program")
    parser.add_argument("--why", required=True, help="line for the journal")
    parser.add_argument("--before", type=pathlib.Path, help="lines of earlier plays")
    parser.add_argument("--out", type=pathlib.Path, required=True)
    parser.add_argument("--reports", type=pathlib.Path, required=True)
    parser.add_argument("--repository", type=pathlib.Path, default=pathlib.Path())
    parser.add_argument("--at-once", type=int, default=1)
    parser.add_argument("days", nargs="+", metavar="SITE:DAY")
    arguments = parser.parse_args()
    arguments.reports.mkdir(parents=True, exist_ok=True)
    with concurrent.futures.ThreadPoolExecutor(arguments.at_once) as pool:
        futures = []
        for each in arguments.days:
            site, _, day = each.rpartition(":")
            path = pathlib.Path(site).resolve()
            futures.append(pool.submit(play, arguments, path, day))
        played = [future.result() for future in futures]
    lines = [json.dumps(attrs.asdict(each)) for each in played]
    arguments.out.write_text("\n".join([*lines, ""]), encoding="utf-8")
    before = _load(arguments.before) if arguments.before else []
    print(table(played, before))
    return 0


if __name__ == "__main__":
    sys.exit(main())
