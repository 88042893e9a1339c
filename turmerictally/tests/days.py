"""Play days of the users' bench, over seeds and variants, and compare them in pairs."""

import argparse
import concurrent.futures
import json
import pathlib
import re
import shutil
import statistics
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
BASE = "base"  # the repository as it is
DEFAULT_SEED = 0  # plays the day's own seed
SETTINGS = pathlib.Path("deploy/entry.yaml")
JOURNAL = pathlib.Path("journal")


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
    seed: int = DEFAULT_SEED
    variant: str = BASE

    @property
    def pair(self) -> tuple[str, str, int]:
        """Return what two plays must share to be compared."""
        return self.site, self.day, self.seed


def read(site: str, day: str, text: str, **fields: object) -> Played:
    """Return what a play's printed report shows."""
    found: dict = dict(fields)
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


def play(
    arguments: argparse.Namespace,
    repository: pathlib.Path,
    site: pathlib.Path,
    day: str,
    seed: int,
    variant: str,
) -> Played:
    """Play one day and keep its report."""
    command = [arguments.bench, "run", str(site), day, "--why", arguments.why]
    if seed != DEFAULT_SEED:
        command += ["--seed", str(seed)]
    if arguments.no_cpu:
        command.append("--no-cpu")
    done = subprocess.run(
        command, cwd=repository, capture_output=True, text=True, check=False
    )
    report = arguments.reports / f"{site.stem}-{day}-{seed}-{variant}.txt"
    report.write_text(done.stdout + done.stderr, encoding="utf-8")
    played = read(site.stem, day, done.stdout, seed=seed, variant=variant)
    print(json.dumps(attrs.asdict(played)), flush=True)
    return played


def make_variant(
    arguments: argparse.Namespace, name: str, settings: pathlib.Path
) -> pathlib.Path:
    """Return a copy of the repository whose hosts use another settings file."""
    copy = arguments.reports / "variants" / name
    ignored = shutil.ignore_patterns(".git", ".venv", "journal", "build", "dist")
    shutil.copytree(arguments.repository, copy, ignore=ignored, dirs_exist_ok=True)
    shutil.copyfile(settings, copy / SETTINGS)
    return copy


def keep_journal(arguments: argparse.Namespace, repository: pathlib.Path) -> None:
    """Copy the journal entries of a variant's plays into the repository."""
    if repository != arguments.repository:
        shutil.copytree(
            repository / JOURNAL, arguments.repository / JOURNAL, dirs_exist_ok=True
        )


def table(played: list[Played], before: list[Played]) -> str:
    """Return a Markdown table of plays, beside earlier ones where there are any."""
    earlier = {each.pair: each for each in before}
    lines = [
        "| Day | Worth | Before | Served | Refused | Failed | Cores a host | Rules |",
        "|---|---|---|---|---|---|---|---|",
    ]
    for each in sorted(played, key=lambda p: (p.pair, p.variant)):
        old = earlier.get(each.pair)
        remarks = [each.rules or "none broken"]
        if each.given_up:
            remarks.append("given up")
        if old and None not in (old.worth, each.worth) and fell(each, old):
            remarks.append("fell")
        values = (each.worth, old and old.worth, each.served, each.refused, each.failed)
        name = f"{each.site} {each.day}"
        if each.seed != DEFAULT_SEED:
            name += f" seed {each.seed}"
        if each.variant != BASE:
            name += f" {each.variant}"
        cells = [name, *map(_cell, values), _cell(each.cores)]
        lines.append(f"| {' | '.join(cells)} | {', '.join(remarks)} |")
    return "\n".join(lines)


def paired_table(played: list[Played]) -> str:
    """Return a Markdown table of each variant's paired differences in worth.

    Days that were given up or broke a rule are named and not counted.
    """
    base = {each.pair: each for each in played if each.variant == BASE}
    lines = [
        "| Variant | Plays | Mean worth | Difference | Spread | Left out |",
        "|---|---|---|---|---|---|",
    ]
    for variant in dict.fromkeys(each.variant for each in played):
        plays = [each for each in played if each.variant == variant]
        left_out = [each for each in plays if not _counts(each)]
        counted = [each for each in plays if _counts(each)]
        pairs = [(each, base[each.pair]) for each in counted if each.pair in base]
        differences = [a.worth - b.worth for a, b in pairs if _counts(b)]
        cells = [
            variant,
            str(len(counted)),
            _mean([each.worth for each in counted]),
            _mean(differences),
            f"{statistics.stdev(differences):.3f}" if len(differences) > 1 else "",
            ", ".join(f"{each.site} {each.day} {each.seed}" for each in left_out),
        ]
        lines.append(f"| {' | '.join(cells)} |")
    return "\n".join(lines)


def fell(played: Played, before: Played) -> bool:
    """Return whether a day is worth less than before by more than noise."""
    return played.worth < before.worth - FALL


def _counts(played: Played) -> bool:
    return played.worth is not None and not played.rules and not played.given_up


def _mean(values: list[float]) -> str:
    return f"{statistics.mean(values):.3f}" if values else ""


def _cell(value: float | None) -> str:
    return "" if value is None else f"{value:.4g}"


def _load(path: pathlib.Path) -> list[Played]:
    lines = path.read_text(encoding="utf-8").splitlines()
    return [Played(**json.loads(line)) for line in lines]


def _variant(text: str) -> tuple[str, pathlib.Path]:
    name, separator, path = text.partition("=")
    if not separator or not name or not pathlib.Path(path).is_file():
        raise argparse.ArgumentTypeError(f"expected NAME=SETTINGS-FILE, not {text}")
    return name, pathlib.Path(path)


def main() -> int:
    """Play the days given as SITE-FILE:DAY and print the tables."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--bench", required=True, help="the bench's program")
    parser.add_argument("--why", required=True, help="line for the journal")
    parser.add_argument("--before", type=pathlib.Path, help="lines of earlier plays")
    parser.add_argument("--out", type=pathlib.Path, required=True)
    parser.add_argument("--reports", type=pathlib.Path, required=True)
    parser.add_argument("--repository", type=pathlib.Path, default=pathlib.Path())
    parser.add_argument("--at-once", type=int, default=1)
    parser.add_argument("--seeds", type=int, nargs="+", default=[DEFAULT_SEED])
    parser.add_argument(
        "--variants", type=_variant, nargs="+", default=[], metavar="NAME=FILE"
    )
    parser.add_argument(
        "--no-cpu", action="store_true", help="so that plays of one seed repeat"
    )
    parser.add_argument("--days", nargs="+", required=True, metavar="SITE:DAY")
    arguments = parser.parse_args()
    arguments.reports.mkdir(parents=True, exist_ok=True)
    repositories = {BASE: arguments.repository}
    for name, settings in arguments.variants:
        repositories[name] = make_variant(arguments, name, settings)
    with concurrent.futures.ThreadPoolExecutor(arguments.at_once) as pool:
        futures = []
        for each in arguments.days:
            site, _, day = each.rpartition(":")
            path = pathlib.Path(site).resolve()
            for seed in arguments.seeds:
                for variant, repository in repositories.items():
                    futures.append(
                        pool.submit(
                            play, arguments, repository, path, day, seed, variant
                        )
                    )
        played = [future.result() for future in futures]
    for repository in repositories.values():
        keep_journal(arguments, repository)
    lines = [json.dumps(attrs.asdict(each)) for each in played]
    arguments.out.write_text("\n".join([*lines, ""]), encoding="utf-8")
    before = _load(arguments.before) if arguments.before else []
    print(table(played, before))
    if arguments.variants:
        print(paired_table(played))
    return 0


if __name__ == "__main__":
    sys.exit(main())
