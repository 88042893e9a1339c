"""Steps for the order of batch items, simulated without a network."""

import collections
import random

import behave

from turmerictally.scheduling import item_order

ITEM_S = 5.0
COMPLETION_S = 18.0  # from arrival to deadline
SLOTS = 24
TICK_S = 0.1
EVENTS_PER_S = 40


def by_deadline(candidate, estimate, now):
    return candidate.deadline, candidate.order


class Slots:
    """Simulate items in slots, which generate events while they run."""

    def __init__(self, key, seed=5):
        self.key = key
        self.estimate = item_order.ItemEstimate()
        self.rng = random.Random(seed)
        self.now = 0.0
        self.waiting = []
        self.running = []
        self.completed = []
        self.arrivals = 0

    def run(self, seconds, items_per_s, slots_at):
        due_arrivals = 0.0
        while self.now < seconds or self.waiting or self.running:
            self.now += TICK_S
            if self.now < seconds:
                due_arrivals += items_per_s(self.now) * TICK_S
            while due_arrivals >= 1:
                due_arrivals -= 1
                self.arrive(self.now + COMPLETION_S)
            self.advance()
            self.assign(slots_at(self.now))

    def arrive(self, deadline):
        self.arrivals += 1
        size = ITEM_S * self.rng.uniform(0.7, 1.3)
        item = {
            "deadline": deadline,
            "remaining_s": size,
            "elapsed_s": 0.0,
            "order": self.arrivals,
        }
        self.waiting.append(item)

    def advance(self):
        for item in list(self.running):
            item["remaining_s"] -= TICK_S
            item["elapsed_s"] += TICK_S
            if item["remaining_s"] <= 0:
                self.running.remove(item)
                self.completed.append((item, self.now))
                events = round(item["elapsed_s"] * EVENTS_PER_S)
                self.estimate.record(item["elapsed_s"], events)

    def sort_key(self, item):
        events = round(item["elapsed_s"] * EVENTS_PER_S)
        candidate = item_order.Candidate(item["deadline"], events, item["order"])
        return self.key(candidate, self.estimate, self.now)

    def assign(self, slots):
        self.running.sort(key=self.sort_key)
        while len(self.running) > slots:
            self.waiting.append(self.running.pop())
        self.waiting.sort(key=self.sort_key)
        while self.waiting and len(self.running) < slots:
            self.running.append(self.waiting.pop(0))

    def ratio_in_time(self):
        return sum(at <= item["deadline"] for item, at in self.completed) / len(
            self.completed
        )


class TeamSlots(Slots):
    """Simulate items of two teams, which are interleaved unless ``former``."""

    def __init__(self, former):
        super().__init__(item_order.sort_key)
        self.former = former

    def arrive(self, deadline):
        super().arrive(deadline)
        in_burst = 10 <= self.now < 16 and self.arrivals % 6
        self.waiting[-1]["team"] = (
            "burst" if in_burst or self.arrivals % 2 else "steady"
        )

    def assign(self, slots):
        running = [item for item in self.running if item["remaining_s"] > 0]
        super().assign(0)
        self.running = running
        self.waiting = [item for item in self.waiting if item not in running]
        if not self.former:
            ordered = [(item["team"], self.sort_key(item)[0]) for item in self.waiting]
            counts = collections.Counter(item["team"] for item in running)
            self.waiting = [
                self.waiting[n] for n in item_order.interleave_teams(ordered, counts)
            ]
        while self.waiting and len(self.running) < slots:
            self.running.append(self.waiting.pop(0))

    def ratio_in_time_of(self, team):
        items = [
            (item, at)
            for item, at in self.completed
            if item["team"] == team and 10 <= item["deadline"] - COMPLETION_S < 30
        ]
        return sum(at <= item["deadline"] for item, at in items) / len(items)


@behave.when("one team's items arrive in a burst beside another team's steady rate")
def one_team_bursts(context):
    normal = SLOTS / ITEM_S / 1.3
    context.ours, context.other = TeamSlots(False), TeamSlots(True)
    for slots in (context.ours, context.other):
        slots.run(
            60.0, lambda now: normal * (6 if 10 <= now < 16 else 1), lambda now: SLOTS
        )


@behave.then(
    "at least {least:g} of the other team's items within 20 s meet their deadline"
)
def other_team(context, least):
    ratio = context.ours.ratio_in_time_of("steady")
    assert ratio >= least, ratio


@behave.then("without interleaving teams, the former policy, at most {most:g} would")
def not_interleaved(context, most):
    ratio = context.other.ratio_in_time_of("steady")
    assert ratio <= most, ratio


def run_outage(slots):
    slots.run(90.0, lambda now: SLOTS / ITEM_S / 1.1, lambda now: is_up(now) * SLOTS)
    return slots


def is_up(now):
    return not 10.0 <= now < 30.0


@behave.when("no slot is free for 20 s of 90 s")
def no_slot(context):
    context.ours = run_outage(Slots(item_order.sort_key))
    context.other = run_outage(Slots(by_deadline))


@behave.then("at least {least:g} of all items meet their deadline")
def in_time(context, least):
    assert context.ours.ratio_in_time() >= least, context.ours.ratio_in_time()


@behave.then("ordered by deadline alone at most half as many would")
def half_as_many(context):
    assert context.other.ratio_in_time() <= context.ours.ratio_in_time() / 2, (
        context.other.ratio_in_time()
    )


@behave.when("items arrive in a burst")
def burst(context):
    normal = SLOTS / ITEM_S / 1.3
    context.ours = Slots(item_order.sort_key)
    context.ours.run(
        60.0, lambda now: normal * (6 if 10 <= now < 16 else 1), lambda now: SLOTS
    )


@behave.then("every item completes in the end")
def every_item(context):
    assert len(context.ours.completed) == context.ours.arrivals


@behave.when("items with later and earlier deadlines wait together")
def together(context):
    context.ours = Slots(item_order.sort_key)
    context.deadlines = [40.0, 60.0, 30.0, 50.0]
    for deadline in context.deadlines:
        context.ours.arrive(deadline)
    context.ours.run(0.0, lambda now: 0, lambda now: 1)


@behave.then("they run in the order of their deadlines")
def in_deadline_order(context):
    assert [item["deadline"] for item, _ in context.ours.completed] == sorted(
        context.deadlines
    )
