"""Define named load patterns, generated from a seed, for comparing policies."""

import collections.abc
import random

import attrs

from turmerictally.bench import crowd

TEAMS = 8
SLOTS = 8
QUOTA_FACTOR = 1.6  # of a team's mean rate
CREST, TROUGH = 1.85, 0.38  # of the mean rate
ITEMS = (4, 20)  # of a batch job
BURST_RATIO = 0.4  # of the slots' time until the jobs of a burst are due
ITEM_S = crowd.ITEM_EVENTS * crowd.EVENT_S + crowd.FIRST_EVENT_S

Rates = collections.abc.Callable[[float], dict[str, float]]
Event = tuple[float, collections.abc.Callable[[crowd.Crowd], None]]


@attrs.define
class Plan:
    """Hold what one seed of a pattern plays; rates are requests a second."""

    hosts: int
    servers: int
    seconds: float
    rates_at: Rates
    quotas: dict[str, float]
    service_s: float
    batch_jobs: list[crowd.BatchJob]
    events: list[Event] = attrs.Factory(list)
    disturbed_from: float = 0.0


@attrs.frozen
class Options:
    """Hold the size and the ratios of a plan; None draws a value from the seed."""

    hosts: int = 12
    servers: int = 9
    seconds: float = 24.0
    period_s: float | None = 5.2
    load: float = 0.46
    batch_load: float = 0.34
    completion_s: float = 18.0
    service_s: float = 0.8


def waves(rng: random.Random, options: Options) -> Plan:
    """Plan crests and troughs of one period."""
    period_s = options.period_s or rng.uniform(1.0, 20.0)
    starts = _crests(rng, options.seconds, lambda: period_s, 0.42)
    return _plan(rng, options, lambda now: _level(starts, now))


def irregular_waves(rng: random.Random, options: Options) -> Plan:
    """Plan crests and troughs of irregular lengths."""
    starts = _crests(rng, options.seconds, lambda: rng.uniform(1.5, 9.0), 0.42)
    return _plan(rng, options, lambda now: _level(starts, now))


def hot_team(rng: random.Random, options: Options) -> Plan:
    """Plan waves in which one team sends several times its mean rate for 8 s."""
    plan = waves(rng, options)
    team, factor = rng.choice(list(plan.quotas)), rng.uniform(3.0, 7.5)
    begin, rates = options.seconds / 3, plan.rates_at

    def rates_at(now: float) -> dict[str, float]:
        hot = begin <= now < begin + 8.0
        return rates(now) | ({team: factor * rates(now)[team]} if hot else {})

    return attrs.evolve(plan, rates_at=rates_at, disturbed_from=begin)


def burst_on_crest(rng: random.Random, options: Options) -> Plan:
    """Plan waves, one crest of which is 1.3 times as high as the others."""
    plan = waves(rng, options)
    begin, rates = options.seconds / 3, plan.rates_at

    def rates_at(now: float) -> dict[str, float]:
        factor = 1.3 if begin <= now < begin + 6.0 else 1.0
        return {team: factor * rate for team, rate in rates(now).items()}

    return attrs.evolve(plan, rates_at=rates_at, disturbed_from=begin)


def domain_cut(rng: random.Random, options: Options) -> Plan:
    """Plan waves in which a failure domain is cut off in a crest, for 5 s."""
    plan = waves(rng, options)
    domain = rng.choice(crowd.DOMAINS)
    begin = options.seconds / 2 + rng.uniform(0.0, 2.0)

    def cut(simulation: crowd.Crowd) -> None:
        simulation.cut_domains.add(domain)

    def heal(simulation: crowd.Crowd) -> None:
        simulation.cut_domains.discard(domain)

    events = [(begin, cut), (begin + 5.0, heal)]
    return attrs.evolve(plan, events=events, disturbed_from=begin)


def hosts_restarted(rng: random.Random, options: Options) -> Plan:
    """Plan waves in which all hosts are killed and start again half a second later."""
    plan = waves(rng, options)
    begin = options.seconds / 2 + rng.uniform(0.0, 2.0)

    def kill(simulation: crowd.Crowd) -> None:
        simulation.kill(range(simulation.size), 0.5)

    return attrs.evolve(plan, events=[(begin, kill)], disturbed_from=begin)


def job_burst(rng: random.Random, options: Options) -> Plan:
    """Plan waves in which many batch jobs arrive at once, all due together."""
    plan = waves(rng, options)
    begin = options.seconds / 4
    slots_s = options.servers * SLOTS * options.completion_s
    count = round(BURST_RATIO * slots_s / ITEM_S / max(ITEMS))
    burst = [
        crowd.BatchJob(
            f"b{n}", rng.choice(list(plan.quotas)), max(ITEMS), begin,
            options.completion_s,
        )
        for n in range(count)
    ]  # fmt: skip
    batch_jobs = plan.batch_jobs + burst
    return attrs.evolve(plan, batch_jobs=batch_jobs, disturbed_from=begin)


def slots_lost(rng: random.Random, options: Options) -> Plan:
    """Plan waves in which a fifth of the servers is lost for 8 s."""
    plan = waves(rng, options)
    names = rng.sample(range(plan.servers), max(1, plan.servers // 5))
    begin = options.seconds / 3
    lost = {f"s{n}" for n in names}

    def lose(simulation: crowd.Crowd) -> None:
        simulation.servers.lost |= lost

    def regain(simulation: crowd.Crowd) -> None:
        simulation.servers.lost -= lost

    events = [(begin, lose), (begin + 8.0, regain)]
    return attrs.evolve(plan, events=events, disturbed_from=begin)


PATTERNS: dict[str, collections.abc.Callable[[random.Random, Options], Plan]] = {
    "waves": waves,
    "irregular-waves": irregular_waves,
    "hot-team": hot_team,
    "burst-on-crest": burst_on_crest,
    "domain-cut": domain_cut,
    "hosts-restarted": hosts_restarted,
    "job-burst": job_burst,
    "slots-lost": slots_lost,
}


def _plan(
    rng: random.Random,
    options: Options,
    level: collections.abc.Callable[[float], float],
) -> Plan:
    slots = options.servers * SLOTS
    mean_rate = options.load * slots / options.service_s
    shares = crowd.skewed(TEAMS, mean_rate, 0.8)

    def rates_at(now: float) -> dict[str, float]:
        return {team: rate * level(now) for team, rate in shares.items()}

    batch_jobs, at = [], 0.0
    jobs_per_s = options.batch_load * slots / ITEM_S / (sum(ITEMS) / 2)
    while (at := at + rng.expovariate(jobs_per_s)) < options.seconds:
        team = rng.choice(list(shares))
        name = f"j{len(batch_jobs)}"
        batch_jobs.append(
            crowd.BatchJob(name, team, rng.randint(*ITEMS), at, options.completion_s)
        )
    return Plan(
        options.hosts,
        options.servers,
        options.seconds,
        rates_at,
        {team: QUOTA_FACTOR * rate for team, rate in shares.items()},
        options.service_s,
        batch_jobs,
    )


def _crests(
    rng: random.Random,
    seconds: float,
    period_s: collections.abc.Callable[[], float],
    part: float,
) -> list[tuple[float, float]]:
    """Return the start and end of each crest, which is a part of its period."""
    crests, at = [], rng.uniform(0.0, 3.0)
    while at < seconds:
        length = period_s()
        crests.append((at, at + part * length))
        at += length
    return crests


def _level(crests: list[tuple[float, float]], now: float) -> float:
    return CREST if any(a <= now < b for a, b in crests) else TROUGH
