Feature: A host's background work and start cost little

  # Guards against many periodic tasks that each cost little but together a core.
  Scenario: An idle host wakes rarely and seldom calls the store
    When 30 hosts that know each other receive no requests for 4 s
    Then each makes at most 3 store calls and 60 task steps a second

  # Guards against results that reach callers late as hosts read the store rarely.
  Scenario: A job's state reaches all hosts before they read the store again
    When 4 hosts among many run a job of 20 items each
    Then every other host has each job state within 0.3 s

  # Guards against slow recovery after all hosts are killed, as starts cost processor time.
  Scenario: A host loads few modules beyond those of trio
    When a host's program is loaded with its settings, and trio alone
    Then the host loads at most 1.5 times as many modules, and none that only rare paths need
