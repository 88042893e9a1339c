"""Steps for the benchmarks of the online path."""

import importlib

import behave

from turmerictally.bench import brownout, routing, yielding


@behave.when('the online benchmark "{name}" runs')
def run_benchmark(context, name):
    benchmark = importlib.import_module(f"turmerictally.bench.{name}")
    assert name == benchmark.NAME and benchmark.SUMMARY
    context.report = benchmark.main()


@behave.then("every bound of the online benchmark holds")
def bounds_hold(context):
    failed = [check for check in context.report.checks if not check.ok]
    assert context.report.checks and not failed, failed


@behave.when("parts of the online benchmarks run twice")
def run_twice(context):
    context.repeated_figures = [
        (
            routing.run(lambda rng: routing.Product()),
            yielding.run("vanua", "yielding"),
            brownout.run("budget"),
        )
        for _ in range(2)
    ]


@behave.then("both runs give the same figures")
def same_figures(context):
    assert context.repeated_figures[0] == context.repeated_figures[1], (
        context.repeated_figures
    )
