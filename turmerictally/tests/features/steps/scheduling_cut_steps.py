"""Steps for what a host concludes while servers and other hosts are not reached."""

import behave

from turmerictally.entry import gossip
from turmerictally.scheduling import connect_timeout, ownership


@behave.when("earlier connections took {before} s")
def connections(context, before):
    context.times = connect_timeout.ConnectTimes()
    for text in () if before == "nothing yet" else before.split(", "):
        context.times.record(float(text))


@behave.then("a connection is given up after {timeout_s:g} s")
def given_up(context, timeout_s):
    assert abs(context.times.timeout_s() - timeout_s) < 1e-9


@behave.when(
    "an owner is {state}, silent for {silent_s:g} s with a row of {row_s:g} s, "
    "seen from {view}"
)
def owner(context, state, silent_s, row_s, view):
    context.evidence = ownership.OwnerEvidence(
        registered="restarted" not in state,
        reachable="unreachable" not in state,
        store_age_s=3.0 if state == "without the store" else 0.2,
        silent_s=silent_s,
        row_age_s=row_s,
        row_renewal_s=gossip.MIN_ROW_RENEWAL_S,
        reaches_majority=view == "the most hosts",
    )


@behave.then("its jobs are taken over: {taken}")
def taken_over(context, taken):
    assert ownership.is_lost(context.evidence) == (taken == "yes"), context.evidence
