"""Run behave and close with one line that counts the scenarios."""

import pathlib
import sys

from behave import configuration, runner_util
from behave import runner as behave_runner

ROOT = pathlib.Path(__file__).resolve().parents[2]
FEATURES = pathlib.Path(__file__).parent / "features"
MAX_MESSAGE = 3000  # characters of one failure
KNOWN_RED = ROOT / "KNOWN-RED.txt"


def main(args: list[str]) -> int:
    """Run the features and return the exit status."""
    arguments = args or [str(FEATURES)]
    options = ["--format=progress", "--logging-level=WARNING"]
    config = configuration.Configuration([*options, *arguments])
    runner_util.reset_runtime()
    runner = behave_runner.Runner(config)
    broken = runner.run()
    scenarios = [s for f in runner.features for s in f.walk_scenarios()]
    passed = [s for s in scenarios if s.status.name == "passed"]
    failed = [s for s in scenarios if s.status.name not in ("passed", "skipped")]
    known = _known_red()
    # Behave ends the name of an outline's example with a space.
    red = [s for s in failed if s.name.strip() in known]
    new = [s for s in failed if s.name.strip() not in known]
    for scenario in red:
        print(f"known red: {scenario.name}")
    for scenario in new:
        print(f"failed: {scenario.name} ({scenario.location})")
        _explain(scenario)
    if broken and not failed:
        print("failed: behave reported an error outside the scenarios")
        new.append(None)
    if not passed:
        print("failed: no scenario ran")
        new.append(None)
    print(f"{len(passed)} passed, {len(new)} failed", flush=True)
    return 1 if new else 0


def _explain(scenario) -> None:
    for step in scenario.all_steps:
        if step.error_message:
            message = step.error_message[:MAX_MESSAGE]
            print(f"  {step.keyword} {step.name}\n{message}")


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
