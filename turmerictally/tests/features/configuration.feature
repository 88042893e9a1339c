Feature: Configuration of the whole fleet

  Scenario: A change is in force on every host and audited without its key's digest
    Given a configured fleet of 13 hosts
    When an operator creates a contract, gives a key and withdraws it, on three hosts
    Then each of the three changes was accepted on 13 of 13 hosts within 6 seconds
    And the audit trail names who, before and after, and holds no key digest

  Scenario: Two operators race on one object and on different objects
    Given a configured fleet of 4 hosts
    When two operators change one contract at once, and two change different ones
    Then the one contract has one winner and one conflict
    And both different contracts are changed
    And a commit without version checks makes both racers win

  Scenario: A lost answer is resolved before the operator is answered
    When 40 changes are made while one answer in three is lost
    Then every answer agrees with the history
    And a commit that takes a lost answer for a refusal disagrees with the history

  Scenario: No replica ever goes back, whatever arrives late
    Then a replica fed late, repeated and old answers never goes back
    And a replica without its version check goes back

  Scenario: A host far behind starts from a snapshot of the store or of a peer
    Given a configured fleet of 4 hosts that takes a snapshot every 10 changes
    When 60 changes are made and old ones are compacted
    Then a new host holds the same configuration
    And a new host holds the same configuration while the platform is down

  Scenario: Every host follows although pushes are lost
    Given a configured fleet of 13 hosts
    When a change is made while every push is lost
    Then the change is in force on all hosts within 10 seconds
    And without pushes and digests in pings it is not

  Scenario: Schedules of commits, losses, cuts, crashes and restarts
    Then no schedule breaks the configuration's promises
    And accepting a change at its commit breaks them
    And serving without a staleness limit breaks them
    And not waiting for hosts that started from a cut-off peer breaks them
