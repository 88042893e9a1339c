"""Compare what callers got and what servers ran with what was promised."""

import collections
import itertools

import attrs

from turmerictally.tests.soak import world
from turmerictally.tests.support import users_platform

EVACUATE_S = 5.0  # the same after an evacuation
OVERLAP_S = 0.4  # for which a server may work on while another one does
COLD_SLACK = 5  # requests in a second beyond a cold server's rate
DRAIN_S = 2.0  # after the store knows of it, no request may reach a server
# Within this time of a withdrawn key's acknowledgement it stops working.
APPLY_S = 2.0
TOUCH_S = 3.0  # without a fault before a bound in time counts
MIN_TAKE_UPS = 12
FIRST_EVENT_S = 1.0  # in which a fault may break a request off before its first event
MIN_SERVERS = 2  # of a stream's version, so that it may go on
NOT_RUN = (408, 421, 429, 503)
MAX_ATTEMPTS = 3  # of an item, as the batch route says
MAX_FAILED = 3 * MAX_ATTEMPTS  # answers that an item may get as its job changes owners
QUOTA_WINDOW_S = 5.0
QUOTA_OVERSHOOT = 0.1
QUOTA_SLACK = 20
# Of the requests of the calm end, so many must be served.
RECOVERED_RATIO = 0.8
MAX_MEMORY_MB = 170  # the least that a host of today's deployments has
MAX_DESCRIPTORS = 1000
MAX_LOG_BYTES_PER_S = 200_000


@attrs.define
class Asked:
    """Hold one request of a caller and its answer.

    ``resumes`` is the request that brought the first event of a stream that is taken
    up, and ``after`` the last event that its caller has.
    """

    request: str
    kind: str
    at: float
    body: str
    key: str
    host: str
    status: int = 0
    whole: bool = False
    ids: list = attrs.Factory(list)
    data: list = attrs.Factory(list)
    ended: float = 0.0
    team: str = ""
    resumes: str = ""
    after: int = 0

    @property
    def went_on(self):
        return self.status == 200 and bool(self.ids)

    @property
    def final(self):
        """Return whether a caller makes no other try after this answer."""
        proper = self.status not in NOT_RUN and 400 <= self.status < 500
        return proper or (self.status == 200 and self.whole)


@attrs.define
class Job:
    """Hold one batch job: its items, its acknowledgement, and each read of it."""

    job: str
    items: dict
    accepted: bool = False
    statuses: list = attrs.Factory(list)
    cancelled: bool = False
    results: dict = attrs.Factory(dict)
    changed: list = attrs.Factory(list)
    whole: bool = False


@attrs.define
class Record:
    """Hold everything that was seen from outside in one run."""

    asked: list = attrs.Factory(list)
    jobs: list = attrs.Factory(list)
    runs: list = attrs.Factory(list)
    ends: list = attrs.Factory(list)
    again: list = attrs.Factory(list)  # requests at a server that had refused them
    stalls: list = attrs.Factory(list)  # when servers' processes did not run
    drains: dict = attrs.Factory(dict)
    withdrawn: dict = attrs.Factory(dict)
    evacuations: list = attrs.Factory(list)  # domain, acknowledged, asked to end
    serving: dict = attrs.Factory(dict)  # when each server began to
    software: dict = attrs.Factory(dict)  # each server's version
    kills: list = attrs.Factory(list)  # of all hosts
    touched: list = attrs.Factory(list)
    exits: list = attrs.Factory(list)
    usage: list = attrs.Factory(list)
    calm_from: float = 0.0
    quota: tuple = (0.0, 0.0)


def find_broken(record, timed=True):
    """Return the broken promises, a line each; ``timed`` adds those with a clock."""
    found = []
    checks = [whole_answers, once, not_run, unasked, kept_jobs, recovered, exits]
    checks += [distinct_answers, one_version, attempts]
    if timed:
        checks += [draining, evacuated, cold_servers, withdrawn_keys, quota, bounded]
        checks += [one_server, taken_up]
    for check in checks:
        found += [f"{check.__name__}: {line}" for line in check(record)]
    return found


def whole_answers(record):
    """A success is the whole answer to its own request, in order."""
    for asked in record.asked:
        expected = list(range(asked.after + 1, users_platform.EVENTS + 1))
        if asked.status != 200:
            continue
        pairs = itertools.zip_longest(asked.ids, asked.data, fillvalue="")
        wanted = [f"{asked.request}.{id_} {_version(text)}" for id_, text in pairs]
        if asked.data != wanted:
            yield f"{asked.request} got another request's events: {asked.data[:3]}"
        if asked.ids != expected[: len(asked.ids)]:
            yield f"{asked.request} got events {asked.ids}"
        if asked.whole and asked.ids != expected:
            yield f"{asked.request} ended as whole after {len(asked.ids)} events"


def once(record):
    """What may not be repeated runs at most once."""
    counts = collections.Counter(run["request"] for run in record.runs)
    for asked in record.asked:
        if asked.kind == "once" and counts[asked.request] > 1:
            yield f"{asked.request} ran {counts[asked.request]} times"


def one_server(record):
    """A request goes on at another server only if the one before stops in time."""
    host_of = {asked.request: asked.host for asked in record.asked}
    ends = {_run_key(end): end["at"] for end in record.ends}
    runs = collections.defaultdict(list)
    for run in record.runs:
        runs[run["request"]].append(run)
    for name, found in runs.items():
        # A batch item may come from any host.
        hosts = (host_of.get(name, "host"), "store")
        for before, after in itertools.combinations(found, 2):
            at, over = after["at"], after["at"] + OVERLAP_S
            if before["server"] == after["server"]:
                continue
            if ends.get(_run_key(before), float("inf")) <= over:
                continue
            calm_since = at - TOUCH_S
            # A server that was killed meanwhile logs no end.
            running_since = min(before["at"], calm_since)
            harmed = (
                _touched(record.touched, calm_since, over, hosts),
                _touched(record.touched, running_since, over, (_way(before),)),
                # What a server is sent before it is harmed, it may run after the other.
                _touched(record.touched, calm_since, at, (_way(after),)),
                # A server that did not run worked on nothing.
                _touched(record.stalls, at, over, (before["server"],)),
                _touched(record.stalls, calm_since, at, (after["server"],)),
            )
            if not any(harmed):
                yield f"{name} ran at {after['server']} beside {before['server']}"


def _way(run):
    return f"server{run['server'][1:].partition('-')[0]}"


def distinct_answers(record):
    """No connection carries a request again whose refusal a server may repeat on it."""
    for each in record.again:
        if each["copied"]:
            yield f"{each['request']} met the copy of its refusal at {each['server']}"


def _run_key(line):
    return line["request"], line["server"], line["arrived"]


def not_run(record):
    """A request that was refused as not run did not run and never does."""
    ran = {run["request"] for run in record.runs}
    for asked in record.asked:
        if asked.status in NOT_RUN and asked.request in ran:
            yield f"{asked.request} was answered {asked.status} and ran"
    for job in record.jobs:
        refused = set(job.statuses) <= set(NOT_RUN) and job.statuses
        for item in job.items:
            if refused and item in ran:
                yield f"item {item} of refused job {job.job} ran"


def unasked(record):
    """Servers get what callers sent, for the team that holds the key."""
    bodies = {asked.request: asked.body for asked in record.asked}
    teams = {asked.request: asked.team for asked in record.asked}
    items = {item: body for job in record.jobs for item, body in job.items.items()}
    for run in record.runs:
        name = run["request"]
        wanted = bodies.get(name, items.get(name))
        if wanted is None:
            yield f"{run['server']} ran {name}, which nobody sent"
        elif run["body"] != wanted:
            yield f"{run['server']} got another body of {name}"
        elif name in teams and run["team"] != teams[name]:
            yield f"{run['server']} was told team {run['team']} for {name}"


def kept_jobs(record):
    """An accepted job is kept, and each item has one result that never changes."""
    for job in record.jobs:
        for line in job.changed:
            yield f"job {job.job}: {line}"
        if not job.accepted or job.cancelled:
            continue
        names = [item for item, _, _ in job.results.values()]
        if len(set(names)) != len(names):
            yield f"job {job.job} lists an item twice"
        missing = set(job.items) - set(names)
        if not job.whole or missing:
            yield f"job {job.job} lacks {len(missing)} of {len(job.items)} items"
        for item, state, text in job.results.values():
            if world.fails_always(item):
                if state != "dead_letter":
                    yield f"item {item} of job {job.job} is {state}"
                continue
            lines = text.split("\n")
            wanted = [f"{item}.{n} {_version(line)}" for n, line in enumerate(lines, 1)]
            whole = len(lines) == users_platform.EVENTS and lines == wanted
            if state != "succeeded" or not whole:
                yield f"item {item} of job {job.job} is {state}: {text[:40]!r}"


def attempts(record):
    """An item that fails at each run gets its attempts, and few more."""
    failed = collections.Counter(
        end["request"] for end in record.ends if end.get("ended") == "failed"
    )
    for job in record.jobs:
        if job.cancelled or not job.whole:
            continue
        for item in filter(world.fails_always, job.items):
            if not MAX_ATTEMPTS <= failed[item] <= MAX_FAILED:
                yield f"item {item} of job {job.job} failed {failed[item]} times"


def one_version(record):
    """What two versions wrote is never joined, also over several requests."""
    versions = collections.defaultdict(set)
    for asked in record.asked:
        if asked.status == 200:
            versions[asked.resumes or asked.request] |= set(map(_version, asked.data))
    for job in record.jobs:
        for item, _, text in job.results.values():
            versions[item] |= set(map(_version, text.split("\n")))
    for name, found in versions.items():
        if len(found) > 1:
            yield f"{name} holds events of {' and '.join(sorted(found))}"


def taken_up(record):
    """Streams are taken up at half the rate at which new ones begin, or better."""
    went_on, began = count_taken_up(record)
    if len(went_on) < MIN_TAKE_UPS:
        return
    if sum(went_on) / len(went_on) < sum(began) / max(1, len(began)) / 2:
        share = f"{sum(went_on)} of {len(went_on)}"
        yield f"{share} streams went on, {sum(began)} of {len(began)} began"


def count_taken_up(record):
    """Return of each stream that is taken up, and each new one, whether it went on."""
    firsts = {asked.request: asked for asked in record.asked}
    began, went_on = [], []
    for asked in record.asked:
        if asked.kind != "repeatable" or asked.key in record.withdrawn:
            continue
        if _harmed(record, asked):
            continue
        if not asked.resumes:
            began.append(asked.went_on)
        elif _serving(record, firsts[asked.resumes], asked.at) >= MIN_SERVERS:
            went_on.append(asked.went_on)
    return went_on, began


def _harmed(record, asked):
    """Return whether a request's host was not calm, or a fault broke it off soon."""
    near, at = ("store", asked.host), asked.at
    if _touched(record.touched, at - TOUCH_S, at, near):
        return True
    if asked.ids or asked.status not in (0, 200):
        return False
    over = min(asked.ended, at + FIRST_EVENT_S)
    way = asked.host.replace("host", "way")
    return _touched(record.touched, at, over, (asked.host, way))


def follows_kill(record, asked):
    """Return whether a stream was taken up soon after a kill of all hosts."""
    return any(at <= asked.at < at + TOUCH_S for at in record.kills)


def recovered(record):
    """After the last fault requests are served again."""
    late = [a for a in record.asked if a.at > record.calm_from and a.kind != "hot"]
    served = sum(a.status == 200 and a.whole for a in late)
    if not late or served < RECOVERED_RATIO * len(late):
        yield f"{served} of {len(late)} requests were served after the last fault"


def exits(record):
    """Processes end only when they are told to, and then in order."""
    yield from record.exits


def draining(record):
    """A server that the store knows to leave gets nothing after a while."""
    host_of = {asked.request: asked.host for asked in record.asked}
    for run in record.runs:
        since, at = record.drains.get(run["server"]), run["arrived"]
        if since is None or at < since + DRAIN_S:
            continue
        # A batch item may come from any host.
        host = host_of.get(run["request"])
        near = [t for t in record.touched if host is None or t[0] == host]
        harmed = _touched(near, at - TOUCH_S, at, ("host",))
        if not harmed and not _touched(record.touched, since - TOUCH_S, at, ("store",)):
            after = round(at - since, 2)
            yield f"{run['request']} reached {run['server']} {after} s after its drain"


def evacuated(record):
    """Nothing reaches an evacuated domain's servers after a while."""
    host_of = {asked.request: asked.host for asked in record.asked}
    for run in record.runs:
        at = run["arrived"]
        for domain, since, over in record.evacuations:
            if _domain(run["server"]) != domain or not since + EVACUATE_S < at < over:
                continue
            host = host_of.get(run["request"])
            near = [t for t in record.touched if host is None or t[0] == host]
            harmed = _touched(near, at - TOUCH_S, at, ("host",))
            store = _touched(record.touched, since - TOUCH_S, at, ("store",))
            if not harmed and not store:
                after = round(at - since, 2)
                yield f"{run['request']} reached {run['server']} {after} s late"


def cold_servers(record):
    """A server that just started gets few requests a second, over all hosts."""
    most = world.COLD_PER_S + COLD_SLACK
    arrivals = collections.defaultdict(list)
    for run in record.runs:
        since = record.serving.get(run["server"], float("-inf"))
        if since <= run["arrived"] < since + world.COLD_S:
            arrivals[run["server"]].append(run["arrived"])
    for server, times in arrivals.items():
        since = record.serving[server]
        # What a paused server or a slow way holds back comes together.
        way = f"server{server[1:].partition('-')[0]}"
        if _touched(record.touched, since, since + world.COLD_S, (way,)):
            continue
        times.sort()
        for n, at in enumerate(times):
            count = sum(at <= each < at + 1.0 for each in times[n:])
            if count > most:
                yield f"{server} got {count} requests in a second while cold"
                break


def _domain(server):
    number = int(server[1:].partition("-")[0])
    return world.DOMAINS[number % len(world.DOMAINS)]


def withdrawn_keys(record):
    """A withdrawn key stops working in time."""
    for asked in record.asked:
        since = record.withdrawn.get(asked.key)
        if since is None or asked.at < since + APPLY_S:
            continue
        served = asked.status == 200
        near = ("store", asked.host)
        start = asked.at - TOUCH_S
        if served and not _touched(record.touched, start, asked.at, near):
            after = round(asked.at - since, 2)
            yield f"{asked.request} was served {after} s after its key was withdrawn"


def quota(record):
    """The limited team stays within its quota, over all hosts."""
    rate, burst = record.quota
    hot = {a.request: a.at for a in record.asked if a.kind == "hot"}
    firsts = {}
    for run in record.runs:
        if run["request"] in hot:
            firsts.setdefault(run["request"], run["at"])
    ran = sorted(firsts.values())
    allowed = (rate * QUOTA_WINDOW_S + burst) * (1 + QUOTA_OVERSHOOT) + QUOTA_SLACK
    first = 0
    for last, at in enumerate(ran):
        while ran[first] < at - QUOTA_WINDOW_S:
            first += 1
        if last - first + 1 > allowed:
            yield f"{last - first + 1} requests ran in 5 s, {allowed:.0f} are allowed"
            return


def bounded(record):
    """Memory, descriptors and logs stay bounded."""
    for usage in record.usage:
        if usage["memory_mb"] > MAX_MEMORY_MB:
            yield f"{usage['host']} took {usage['memory_mb']} MB"
        if usage["descriptors"] > MAX_DESCRIPTORS:
            yield f"{usage['host']} had {usage['descriptors']} descriptors open"
        if usage["log_bytes_per_s"] > MAX_LOG_BYTES_PER_S:
            yield f"{usage['host']} logged {usage['log_bytes_per_s']} bytes a second"


def _version(line):
    """Return the version that wrote an event, empty if none did."""
    version = line.rpartition(" ")[2]
    return version if version in world.VERSIONS else ""


def _serving(record, begun, at):
    """Return how many calm servers of the version that began a stream serve."""
    newest = {}
    for server, since in sorted(record.serving.items(), key=lambda item: item[1]):
        if since <= at:
            newest[server.partition("-")[0]] = server
    count = 0
    for number, server in newest.items():
        way = f"server{number[1:]}"
        left = record.drains.get(server, at) < at
        evacuated = any(
            domain == _domain(server) and since <= at < over + TOUCH_S
            for domain, since, over in record.evacuations
        )
        harmed = _touched(record.touched, at - TOUCH_S, at, (way,))
        same = record.software[server] == _version(begun.data[0])
        count += same and not (left or evacuated or harmed)
    return count


def _touched(touched, start, end, targets):
    """Return whether a fault on one of the targets fell into a time."""
    return any(
        begun < end and over > start and target.startswith(targets)
        for target, begun, over in touched
    )
