Feature: Batch jobs are accepted once, done once, kept and stopped on request

  Scenario: An upload reports each bad line and keeps the others
    When a batch file with bad lines 2, 4 and 7 is uploaded in small chunks
    Then exactly these batch lines are reported by number
    And the other batch items complete and the counts add up

  Scenario: Another team's batch file and job are not found
    When a batch job is accepted for one team
    Then another team finds neither the batch file nor the job

  Scenario: A resent batch job is the same job at every host
    When a batch job is sent at three hosts at once while answers are lost
    Then every accepted answer names one batch job

  Scenario: Without an idempotency key a resent batch job is a second job
    When a batch job without a key is sent twice
    Then the check for one batch job fails

  Scenario: A batch job is refused whole while the platform is down
    When a batch job is sent during an outage
    Then the batch refusal says not run and no row was written

  Scenario: An acknowledged batch job outlives the host that took it
    When the host that took a batch job is lost right after its answer
    Then the batch job completes on other hosts

  Scenario: Batch results keep their promises under any schedule of faults
    Then 25 random schedules of batch faults break no promise

  Scenario: A fault at each step of a batch host breaks no promise
    Then a crash, pause or lost answer at each batch platform call breaks no promise

  Scenario: Without fencing random schedules break batch promises
    Then random schedules of batch faults without fencing break a promise

  Scenario: A paused holder cannot change batch results
    When a batch holder is paused past its lease and then commits
    Then no broken batch promise is seen

  Scenario: Without fencing a paused holder changes batch results
    When a batch holder is paused past its lease and then commits without fencing
    Then a broken batch promise is seen

  Scenario: Cancellation racing completion has one outcome
    When a batch job is cancelled at the moment it completes
    Then the batch job's final state never changes

  Scenario: Without conditional writes a cancellation races completion
    When a batch job is cancelled at the moment it completes without conditional writes
    Then the batch job's final state changes

  Scenario: A cancelled batch job stops everywhere within 5 seconds
    When a running batch job is cancelled while peer calls are lost
    Then no batch item starts later than 5 seconds after it
    And the batch results so far stay readable

  Scenario: A job is cancelled only once a host that is cut off has stopped
    When a batch job is cancelled while one of its holders is cut off from everything
    Then the batch job shows cancelling until that holder has stopped

  Scenario: A cancellation survives the host that took it
    When the host that took a batch cancellation is lost at once
    Then the batch job still becomes cancelled

  Scenario: A poisonous batch item is isolated
    When a batch job holds an item that kills its host
    Then only that batch item fails and all others complete

  Scenario: Items that cannot be done fail alone after bounded tries
    When a batch job holds items that are refused, broken or name no model
    Then these batch items fail with their reasons and all others complete

  # Guards against tries that each holder of a range counts anew.
  Scenario: An item's failed tries count over all holders of its range
    When the host of an item that always fails is lost after each of its first two tries
    Then the item was sent as often as it may fail, and has failed

  Scenario: A host without a configuration runs no batch items
    When one host has not learned the configuration and one learns a model late
    Then no batch item fails as unknown

  Scenario: Items that may not be repeated run at most once
    When batch items on a non-idempotent route meet lost hosts
    Then each such batch item was sent at most once
    And batch items in doubt end as may have run

  Scenario: Without start records such items run twice
    When batch items on a non-idempotent route meet lost hosts without start records
    Then a batch item that may run once was sent twice

  Scenario: A planned stop gives batch ranges back at once
    When a host with batch ranges is stopped as planned
    Then the batch job goes on without waiting for its lease

  Scenario: A batch range without capacity goes to another host
    When the host that holds a batch range finds no capacity
    Then another host completes the batch job

  Scenario: Idle capacity is used within a second
    When capacity for batch items comes free on a host without ranges
    Then a batch item starts within one second

  Scenario: Yielded batch items run again without counting as tries
    When batch slots are yielded again and again
    Then every batch item completes

  Scenario: Hosts go on through a platform outage and commit after it
    When the platform is down for 60 seconds during a batch job
    Then the batch results held in memory stay bounded
    And the batch job completes without repeating finished items
    And the batch writes after the outage stay within the budget

  Scenario: Expired batch jobs are deleted
    When a batch job's retention ends
    Then its results are refused as expired and deleted

  Scenario: The batch benchmark holds its bounds
    When the batch benchmark runs
    Then every bound of the batch benchmark holds

  Scenario: The forecast shows a late batch job before it is late
    When a batch job is larger than the fleet can complete in its window
    Then the batch forecast shows it late long before its deadline
