"""Steps for the decisions of a stopping host."""

import behave

from turmerictally.scheduling import drain


@behave.given("requests of size {size:d} that took {took} s")
def requests_took(context, size, took):
    context.durations = drain.Durations()
    for seconds in took.split(","):
        context.durations.record("route", size, float(seconds))


@behave.when(
    "a {kind} of size {size:d} with {own_s:g} s of its own comes {left_s:g} s before "
    "the last answers"
)
def request_comes(context, kind, size, own_s, left_s):
    certainty = drain.required_certainty(
        repeatable="repeatable" in kind,
        streamed="stream" in kind,
        other_host_ready="no other host" not in kind,
    )
    expected_s = context.durations.expected_s("route", size, certainty, own_s)
    context.taken = drain.fits(left_s, expected_s)


@behave.then("the request is {outcome}")
def is_taken(context, outcome):
    assert context.taken == (outcome == "taken")


@behave.when("a stop with a grace of {grace_s:g} s begins")
def stop_begins(context, grace_s):
    context.deadlines = drain.deadlines(100.0, grace_s)


@behave.then(
    "the last answers are due after {answer_s:g} s and the process ends after "
    "{end_s:g} s"
)
def due_after(context, answer_s, end_s):
    assert abs(context.deadlines.answer_by - 100.0 - answer_s) < 1e-6
    assert abs(context.deadlines.ends_at - 100.0 - end_s) < 1e-6
