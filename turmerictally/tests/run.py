"""Run behave, some features side by side, and close with a line that counts."""

import concurrent.futures
import contextlib
import io
import multiprocessing
import os
import pathlib
import sys

import attrs
from behave import configuration, runner_util
from behave import runner as behave_runner

ROOT = pathlib.Path(__file__).resolve().parents[2]
FEATURES = pathlib.Path(__file__).parent / "features"
MAX_MESSAGE = 3000  # characters of one failure
MAX_JOBS = 4  # features at once; some start a dozen processes of their own
KNOWN_RED = ROOT / "KNOWN-RED.txt"


@attrs.define
class Outcome:
    """Hold what one run of behave found."""

    passed: list[str] = attrs.Factory(list)
    failed: dict[str, str] = attrs.Factory(dict)
    broken: bool = False
    printed: str = ""


def main(args: list[str]) -> int:
    """Run the features and return the exit status."""
    arguments = args or sorted(map(str, FEATURES.glob("*.feature")))
    known = _known_red()
    passed = failed = 0
    jobs = max(1, min(MAX_JOBS, len(os.sched_getaffinity(0)) // 2))
    with concurrent.futures.ProcessPoolExecutor(
        jobs, multiprocessing.get_context("spawn"), max_tasks_per_child=1
    ) as pool:
        futures = {pool.submit(run, [each]): each for each in arguments}
        for future in concurrent.futures.as_completed(futures):
            outcome = future.result()
            print(outcome.printed, flush=True)
            passed += len(outcome.passed)
            failed += _tell_failures(futures[future], outcome, known)
    if not passed:
        print("failed: no scenario ran")
        failed += 1
    print(f"{passed} passed, {failed} failed", flush=True)
    return 1 if failed else 0


def run(arguments: list[str]) -> Outcome:
    """Run behave once, in this process."""
    options = ["--format=progress", "--logging-level=WARNING"]
    printed = io.StringIO()
    outcome = Outcome()
    with contextlib.redirect_stdout(printed), contextlib.redirect_stderr(printed):
        config = configuration.Configuration([*options, *arguments])
        runner_util.reset_runtime()
        runner = behave_runner.Runner(config)
        outcome.broken = bool(runner.run())
    outcome.printed = printed.getvalue()
    for feature in runner.features:
        for scenario in feature.walk_scenarios():
            # Behave ends the name of an outline's example with a space.
            name = scenario.name.strip()
            if scenario.status.name == "passed":
                outcome.passed.append(name)
            elif scenario.status.name != "skipped":
                outcome.failed[f"{name} ({scenario.location})"] = _explain(scenario)
    return outcome


def _tell_failures(feature: str, outcome: Outcome, known: set[str]) -> int:
    """Print what failed; return how many of it are not known."""
    new = 0
    for title, message in outcome.failed.items():
        if title.rpartition(" (")[0] in known:
            print(f"known red: {title}")
            continue
        new += 1
        print(f"failed: {title}\n{message}")
    if outcome.broken and not outcome.failed:
        print(f"failed: behave reported an error outside the scenarios of {feature}")
        new += 1
    return new


def _explain(scenario) -> str:
    return "\n".join(
        f"  {step.keyword} {step.name}\n{step.error_message[:MAX_MESSAGE]}"
        for step in scenario.all_steps
        if step.error_message
    )


def _known_red() -> set[str]:
    if not KNOWN_RED.exists():
        return set()
    lines = KNOWN_RED.read_text(encoding="utf-8").splitlines()
    prefix = "scenario: "
    return {
        line.removeprefix(prefix).strip() for line in lines if line.startswith(prefix)
    }


if __name__ == "__main__":
    sys.exit(main(sys.argv[1:]))
