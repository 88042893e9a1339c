Feature: A host costs little beside its requests

  # Guards against ticks and polls of which each costs nothing, and all together a core.
  Scenario: A host that serves nobody sleeps, and asks the store little
    When 30 hosts that know each other serve nobody for 4 s
    Then each makes at most 3 store calls and its tasks go on at most 60 times a second

  # Guards against results that callers see late when hosts read the store rarely.
  Scenario: A job's state is known everywhere before the store is read again
    When 4 hosts among many run a job of 20 items each
    Then each other host knows each of its states within 0.3 s

  # Guards against days on which all hosts are killed, as a start's processor time counts.
  Scenario: A start loads what serving needs, and little more than the library below it
    When a host's program is loaded with its settings, and the library for its tasks alone
    Then it loads at most 1.5 times as many modules, and none for rare paths
