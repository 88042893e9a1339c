Feature: Batch jobs are stored in the row store and run in free slots
  Scenario: A job is accepted once and each item has one result at every host
    When a job is submitted to two hosts at once
    Then both responses are 202 and each item ran once
    And both hosts list the same complete results at the same positions
    And an unknown job is not found, and the items' bodies are unchanged

  Scenario: A job survives the failure of the host that accepted it
    When the host that accepted a job fails while its items run
    Then the other host lists every result within 15 s

  Scenario: A job survives the failure of all hosts
    When all hosts fail right after a job was accepted, and start again
    Then both hosts list every result within 15 s

  Scenario: A submission with an unknown outcome is not refused
    When the store applies a submission late and loses the response
    Then no response claims that the job does not run, and it runs once it is accepted

  # Guards against 503 for a job whose only write was cut off, unanswered, and took effect.
  Scenario Outline: A submission that ends during its first write is not refused
    When <what> ends while the store has applied the write of a job, unanswered
    Then the response is 504 and the job runs

    Examples:
      | what              |
      | the caller's time |
      | the host's grace  |

  Scenario: A submission that the store refused is refused as not run
    When the store refuses a submission
    Then the caller gets 503 with a retry time and nothing ever runs

  # Covers the load case in which jobs arrive while the store refuses a third of the hosts.
  Scenario: A host refused by the store redirects callers to other hosts at once
    When the store refuses one of four hosts for 3 s and two jobs arrive there
    Then the caller gets 503 within 50 ms with a retry time of up to 0.2 s, and nothing runs
    And another host accepts the job with 202

  Scenario: Results keep their positions if the store loses the response to their write
    When the store loses responses while results are saved
    Then both hosts list the same complete results at the same positions

  Scenario: A job that is read from the store before its write is confirmed runs once
    When the store responds to the write of a job a second after applying it
    Then each item runs once and has one result

  Scenario: A job cancelled at any host stops on the host that runs it
    When a job is cancelled through a host that does not run it
    Then no item starts later than 1 s after the response
    And results that were listed stay listed

  # Guards against items of a cancelled job that run where its end was known before the
  # job was owned (UNASKED).
  Scenario Outline: A job cancelled before a host knows that it owns it does not run there
    When a job is cancelled while <step>
    Then no item of it starts later than 1 s after the response

    Examples:
      | step                                              |
      | another host reads its items to take it over      |
      | the store delays the answer to its first write    |

  # Guards against items of a cancelled job that start while its owner waits for an
  # answer to a write (UNASKED).
  Scenario: A cancelled job starts no items while its owner's writes get no answer
    When a job is cancelled while the store does not answer the writes of its owner
    Then no item of it starts later than 1 s after the response

  # Guards against texts with a gap, as a takeover that comes too late sets running items
  # back to the events that were saved (ORDER).
  Scenario: A takeover that comes too late does not touch running items
    When a host takes over a job that it has begun to run meanwhile
    Then each item has its whole text

  Scenario: An item that can never succeed fails without delaying others
    When a server responds 422 to every item
    Then each item fails after 1 runs

  Scenario: An item whose runs all fail is failed after its maximum number of attempts
    When a server responds 500 to every item
    Then each item fails after 3 runs

  Scenario: An item whose stream breaks resumes after its last event
    When servers break each stream after 7 events
    Then both hosts list the same complete results at the same positions
    And no event was generated twice

  Scenario: Online requests preempt batch items at once
    When online requests arrive while batch items fill the servers
    Then no online request waits 0.25 s for its first event
    And both hosts list every result within 15 s

  Scenario: A team's waiting tokens are limited over all hosts
    When a team submits jobs to both hosts beyond its limit of waiting tokens
    Then jobs within the limit are accepted and the others get 429

  Scenario: A job's rows are deleted after the retention period of its results
    When a job is complete and more than 120 s pass
    Then its results were readable until 120 s after its submission
    And all of its rows were deleted by one host

  Scenario: A planned stop releases jobs at once, with the progress of their items
    When the host that runs a job is stopped
    Then the other host lists every result within 6 s
    And no event was generated twice by items that resumed elsewhere

  Scenario: Only events that were written count as saved
    When items of a job run at different speeds while their events are written
    Then the events in the store have no gap for any item

  Scenario: Events of two owners' runs are not mixed
    When an owner and its successor have written the same events of an item
    Then the successor's events replace the first owner's from there on

  Scenario: A job submitted to a stopping host runs elsewhere at once
    When a job is submitted to a host that is stopping
    Then the other host lists every result within 4 s

  Scenario: Little work on long items is repeated after their host fails
    When the host that runs long items fails after 4 s
    Then the other host lists every result of long items
    And no item repeated more than 1.6 s of its events

  # Guards against results that seem lost: with 195 hosts each local copy of the job states
  # is read only every one or two seconds, so a second host may lag behind the first.
  Scenario: A host with a lagging copy of the job states shows results shown elsewhere
    When results are read at one host and then at another that polls every 5 s
    Then the other host shows all of them at once

  # Guards against items of a service with idle servers that never run, as free slots were
  # left to items that wait on other hosts for another service (LOST).
  Scenario Outline: Items of a service are done while items of another wait for servers
    When jobs of a service <without> wait at two hosts and jobs of another are submitted
    Then every item of the other service is done within 6 s

    Examples:
      | without                                  |
      | without any server                       |
      | whose only server is registered but dead |

  # Guards against items of a new route that are given up for good by an owner whose
  # configuration is older than the job (MIXED).
  Scenario: Items of a new route wait for an owner's configuration
    When a host takes over a job of a route that its configuration does not have yet
    Then no item of it is given up, and all are done once the host has that configuration

  Scenario: Items of a route that has ended are given up
    When the route of a waiting job is removed
    Then its items are given up and none runs later

  # Guards against hosts that cannot read each other's digests during a release.
  Scenario: Hosts of the version before read digests that tell what waits by service
    When a host tells of items that wait for two services
    Then its digest has the fields of the version before
    And the version before sees the most urgent items of all services

  # Guards against an item that is never done, as each attempt goes to the one server that
  # refuses it: idle, as it refuses, that server has the most free slots.
  Scenario Outline: Items are done though the server with the most free slots fails them
    When a job is submitted while one of two servers <fails> every request
    Then every item of that job is done within 5 s

    Examples:
      | fails           |
      | refuses         |
      | answers 500 to  |
      | answers 429 to  |

  # Guards against a host that ends, with all its callers' requests, as one batch item or
  # one round of scheduling raises an unexpected error.
  Scenario Outline: An unexpected error in the batch loop delays items and ends nothing
    When <step> raises an unexpected error three times while a job and requests run
    Then the job is done, every request got its response and the errors are logged

    Examples:
      | step                   |
      | the run of an item     |
      | the choice of servers  |
      | the move of late items |
