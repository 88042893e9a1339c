"""Steps for the order of batch items, simulated without a network."""

import collections
import random

import behave

from turmerictally.scheduling import itemorder

ITEM_S = 5.0
DUE_S = 18.0
SLOTS = 24
TICK_S = 0.1
EVENTS_PER_S = 40


def by_due(candidate, expected, now):
    return candidate.due, candidate.order


class Slots:
    """Run items in slots; each one makes events while it runs."""

    def __init__(self, key, seed=5):
        self.key = key
        self.expected = itemorder.Expected()
        self.rng = random.Random(seed)
        self.now = 0.0
        self.waiting = []
        self.running = []
        self.done = []
        self.order = 0

    def run(self, seconds, items_per_s, slots_at):
        carry = 0.0
        while self.now < seconds or self.waiting or self.running:
            self.now += TICK_S
            if self.now < seconds:
                carry += items_per_s(self.now) * TICK_S
            while carry >= 1:
                carry -= 1
                self.arrive(self.now + DUE_S)
            self.work()
            self.place(slots_at(self.now))

    def arrive(self, due):
        self.order += 1
        size = ITEM_S * self.rng.uniform(0.7, 1.3)
        item = {"due": due, "left_s": size, "worked_s": 0.0, "order": self.order}
        self.waiting.append(item)

    def work(self):
        for item in list(self.running):
            item["left_s"] -= TICK_S
            item["worked_s"] += TICK_S
            if item["left_s"] <= 0:
                self.running.remove(item)
                self.done.append((item, self.now))
                events = round(item["worked_s"] * EVENTS_PER_S)
                self.expected.learn(item["worked_s"], events)

    def rank(self, item):
        events = round(item["worked_s"] * EVENTS_PER_S)
        candidate = itemorder.Candidate(item["due"], events, item["order"])
        return self.key(candidate, self.expected, self.now)

    def place(self, slots):
        self.running.sort(key=self.rank)
        while len(self.running) > slots:
            self.waiting.append(self.running.pop())
        self.waiting.sort(key=self.rank)
        while self.waiting and len(self.running) < slots:
            self.running.append(self.waiting.pop(0))

    def in_time(self):
        return sum(at <= item["due"] for item, at in self.done) / len(self.done)


class Shared(Slots):
    """Run items of two teams, which take turns unless ``former``."""

    def __init__(self, former):
        super().__init__(itemorder.key)
        self.former = former

    def arrive(self, due):
        super().arrive(due)
        bursts = 10 <= self.now < 16 and self.order % 6
        self.waiting[-1]["team"] = "burst" if bursts or self.order % 2 else "calm"

    def place(self, slots):
        running = [item for item in self.running if item["left_s"] > 0]
        super().place(0)
        self.running = running
        self.waiting = [item for item in self.waiting if item not in running]
        if not self.former:
            late = [(item["team"], self.rank(item)[0]) for item in self.waiting]
            counts = collections.Counter(item["team"] for item in running)
            self.waiting = [self.waiting[at] for at in itemorder.by_turns(late, counts)]
        while self.waiting and len(self.running) < slots:
            self.running.append(self.waiting.pop(0))

    def in_time_of(self, team):
        found = [
            (item, at)
            for item, at in self.done
            if item["team"] == team and 10 <= item["due"] - DUE_S < 30
        ]
        return sum(at <= item["due"] for item, at in found) / len(found)


@behave.when("one team's items come by a jump and another's go on")
def one_jumps(context):
    usual = SLOTS / ITEM_S / 1.3
    context.ours, context.other = Shared(False), Shared(True)
    for each in (context.ours, context.other):
        each.run(
            60.0, lambda now: usual * (6 if 10 <= now < 16 else 1), lambda now: SLOTS
        )


@behave.then("of the other's in 20 s from then at least {part:g} are done in time")
def other_team(context, part):
    found = context.ours.in_time_of("calm")
    assert found >= part, found


@behave.then("without turns, the former policy, at most {part:g} would be")
def without_turns(context, part):
    found = context.other.in_time_of("calm")
    assert found <= part, found


def outage(slots):
    slots.run(90.0, lambda now: SLOTS / ITEM_S / 1.1, lambda now: not_down(now) * SLOTS)
    return slots


def not_down(now):
    return not 10.0 <= now < 30.0


@behave.when("no slot is free for 20 s of 90 s")
def no_slot(context):
    context.ours = outage(Slots(itemorder.key))
    context.other = outage(Slots(by_due))


@behave.then("at least {part:g} of all items are done in time")
def in_time(context, part):
    assert context.ours.in_time() >= part, context.ours.in_time()


@behave.then("by due time alone at most half as many would be")
def half_as_many(context):
    assert context.other.in_time() <= context.ours.in_time() / 2, (
        context.other.in_time()
    )


@behave.when("items come by a jump")
def jump(context):
    usual = SLOTS / ITEM_S / 1.3
    context.ours = Slots(itemorder.key)
    context.ours.run(
        60.0, lambda now: usual * (6 if 10 <= now < 16 else 1), lambda now: SLOTS
    )


@behave.then("every item is done in the end")
def every_item(context):
    assert len(context.ours.done) == context.ours.order


@behave.when("items of later and earlier due times wait together")
def together(context):
    context.ours = Slots(itemorder.key)
    context.dues = [40.0, 60.0, 30.0, 50.0]
    for due in context.dues:
        context.ours.arrive(due)
    context.ours.run(0.0, lambda now: 0, lambda now: 1)


@behave.then("they run by due time")
def by_due_time(context):
    assert [item["due"] for item, _ in context.ours.done] == sorted(context.dues)
