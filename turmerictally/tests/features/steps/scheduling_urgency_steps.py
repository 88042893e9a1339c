"""Steps for the order of batch items and callers over all hosts."""

import random

import behave

from turmerictally.scheduling import fair_shares, placement, wait_queue

SERVICE_S = 0.8
OTHER_TEAM_SLOTS = 4


def groups(text):
    """Return the numbers of each host, which bars separate."""
    return [[int(each) for each in part.split(",")] for part in text.split("|")]


@behave.given("{slots:d} free slots, and hosts with items due at {due}")
def waiting_items(context, slots, due):
    hosts = groups(due)
    loads = [placement.ServerLoad(f"s{n}", "a", 1) for n in range(slots)]
    context.starts = []
    for own in hosts:
        elsewhere = [each for other in hosts if other is not own for each in other]
        servers = placement.choose_batch_starts(
            {placement.ANY_VERSION: loads},
            waiting={placement.ANY_VERSION: sorted(own)},
            waiting_elsewhere={placement.ANY_VERSION: elsewhere},
        )[placement.ANY_VERSION]
        context.starts.append(list(zip(sorted(own), servers, strict=False)))


@behave.then("the hosts start items due at {due}")
def started(context, due):
    assert [[item for item, _ in starts] for starts in context.starts] == groups(due)


@behave.then("each takes a slot of its own")
def distinct(context):
    servers = [server for starts in context.starts for _, server in starts]
    assert len(set(servers)) == len(servers), servers


@behave.given(
    "a server of {slots:d} slots with {online:d} online requests, "
    "and items due at {due}"
)
def full_server(context, slots, online, due):
    hosts = {f"h{n}": urgencies for n, urgencies in enumerate(groups(due))}
    context.load = placement.ServerLoad(
        "s0",
        "a",
        slots,
        online,
        {name: len(urgencies) for name, urgencies in hosts.items()},
        batch_urgencies=hosts,
    )


@behave.then("the hosts preempt {counts} items")
def preempted(context, counts):
    found = [
        placement.count_preemptions(context.load, name)
        for name in context.load.batch_by_host
    ]
    assert [found] == groups(counts), found


@behave.given(
    "{slots:d} slots of {seconds:g} s a request, and a large team that demands "
    "{demand:d} of them"
)
def demand_above(context, slots, seconds, demand):
    team_demand = fair_shares.TeamDemand({})
    for _ in range(demand):
        team_demand.add("llm", "large")
    for _ in range(OTHER_TEAM_SLOTS):
        team_demand.add("llm", "small")
    times = fair_shares.ServiceTimes(mean_s=seconds, has_samples=True)
    context.queue = wait_queue.WaitQueue(team_demand, times, random.Random(1))
    context.conditions = wait_queue.QueueConditions(slots)


@behave.when(
    "a request of a rank above its share arrives, to start within {within_s:g} s"
)
def arrives(context, within_s):
    request = wait_queue.QueuedRequest(
        "llm", "large", 0.999, 0, 0, start_by=within_s, deadline=5.0
    )
    context.refusal = context.queue.check_admission(request, context.conditions, 0.0)
    assert not request.in_share


@behave.then("it is {outcome}")
def has_outcome(context, outcome):
    refusal = context.refusal
    found = "queued" if refusal is None else f"refused: {refusal.reason}"
    assert found == outcome, found
