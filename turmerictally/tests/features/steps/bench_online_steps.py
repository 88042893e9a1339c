"""Steps for the benchmarks of the online path."""

import importlib

import behave

from turmerictally.bench import brownout, routing, yielding


@behave.when('the online benchmark "{name}" runs')
def run_benchmark(context, name):
    found = importlib.import_module(f"turmerictally.bench.{name}")
    assert name == found.NAME and found.SUMMARY
    context.report = found.main()


@behave.then("every bound of the online benchmark holds")
def bounds_hold(context):
    failed = [check for check in context.report.checks if not check.ok]
    assert context.report.checks and not failed, failed


@behave.when("parts of the online benchmarks run twice")
def run_twice(context):
    context.twice = [
        (
            routing.run(lambda rng: routing.Product()),
            yielding.run("vanua", "yielding"),
            brownout.run("budget"),
        )
        for _ in range(2)
    ]


@behave.then("both runs gave the same figures")
def same_figures(context):
    assert context.twice[0] == context.twice[1], context.twice
