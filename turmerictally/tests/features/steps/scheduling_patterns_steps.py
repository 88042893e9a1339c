"""Steps for load patterns that compare scheduling policies."""

import statistics

import behave

from turmerictally.bench import patterns, policy, registry

SEEDS = (1, 2)


def play(pattern, variant=policy.BASE, **sizes):
    """Return the figures of each seed."""
    options = patterns.Options(**sizes)
    return [policy.play(pattern, variant, seed, options)[0] for seed in SEEDS]


def mean(played, name):
    return statistics.mean(getattr(figures, name) for figures in played)


@behave.when('the pattern "{pattern}" is played twice for {seconds:g} s')
def play_twice(context, pattern, seconds):
    context.plays = [play(pattern, seconds=seconds) for _ in range(2)]


@behave.then("both plays have the same figures")
def same(context):
    first, second = context.plays
    assert first == second, (first, second)
    assert sum(figures.item_runs for figures in first) > 0


@behave.when('patterns are compared with {option} "{name}"')
def compare_unknown(context, option, name):
    names = {"pattern": ["waves"], "variant": [policy.BASE]} | {option: [name]}
    try:
        policy.compare(names["pattern"], names["variant"], [1], patterns.Options())
    except registry.OptionError as error:
        context.error = str(error)


@behave.then('the error names "{name}" and lists "{listed}"')
def error_lists(context, name, listed):
    assert name in context.error and listed in context.error, context.error


@behave.when(
    'the pattern "{pattern}" is played with half of all slots\' time asked by batch'
)
def play_batch(context, pattern):
    context.pattern, context.sizes = pattern, {"batch_load": 0.5}
    context.played = play(pattern, **context.sizes)


@behave.when('the pattern "{pattern}" is played')
def play_pattern(context, pattern):
    context.pattern, context.sizes = pattern, {}
    context.played = play(pattern)


@behave.then("at least {ratio:g} of the results are in time")
def in_time(context, ratio):
    context.measure = "results_in_time"
    assert mean(context.played, context.measure) >= ratio, context.played


@behave.then("at least {ratio:g} of the requests after the cut are on time")
def on_time_after(context, ratio):
    context.measure = "disturbed_on_time"
    assert mean(context.played, context.measure) >= ratio, context.played


@behave.then('without "{mechanism}" fewer are')
def fewer_without(context, mechanism):
    without = play(context.pattern, mechanism, **context.sizes)
    before = mean(context.played, context.measure)
    assert mean(without, context.measure) < before, without


@behave.when('the pattern "{pattern}" is played at {load:g} of the slots\' time')
def play_load(context, pattern, load):
    context.played = play(pattern, load=load)


@behave.then("slots were free in time after at most {ratio:g} of the refusals")
def few_with_room(context, ratio):
    assert mean(context.played, "refused_with_room") <= ratio, context.played
