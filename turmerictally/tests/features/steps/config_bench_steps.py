import behave

from turmerictally.bench import config_spread, config_view, cutoff
from turmerictally.tests.support import config_fleet


@behave.then("the spread of changes keeps its bounds")
def then_spread(context):
    report = config_spread.run((13, 100), (0.0,), 2)
    assert report.ok, report.text()


@behave.then("the chosen policy when cut off keeps its bounds")
def then_cutoff(context):
    context.report = cutoff.run((cutoff.CHOSEN, cutoff.STRICT, cutoff.NEVER))
    assert context.report.ok, context.report.text()


@behave.then("failing closed after 5 seconds refuses some wrongly")
def then_strict(context):
    assert context.report.rows[1]["wrongful"] > 0, context.report.text()


@behave.then("reporting at the commit serves a withdrawn key")
def then_never(context):
    assert context.report.rows[2]["broken"] > 0, context.report.text()


@behave.then("the view of every team keeps its bound of memory")
def then_view(context):
    report = config_fleet.run(config_view.run, (7600,))
    assert report.ok, report.text()
