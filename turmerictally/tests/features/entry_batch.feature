Feature: Batch jobs are kept in the row store and run in free slots
  Scenario: A job is accepted once and each item has one result at every host
    When a job is sent to two hosts at once
    Then both answers are 202 and each item ran once
    And both hosts list the same results at the same positions, whole
    And an unknown job is not found, and the items' bodies are unchanged

  Scenario: A job outlives the host that accepted it
    When the host that accepted a job is lost while its items run
    Then the other host lists every result within 15 s

  Scenario: A job outlives all hosts
    When all hosts are lost right after a job was accepted, and start again
    Then both hosts list every result within 15 s

  Scenario: A submission whose fate is unknown is not refused
    When the store applies a submission late and loses the answer
    Then no answer says that the job does not run, and it runs once accepted

  Scenario: A submission that the store refused is refused as not run
    When the store refuses a submission
    Then the caller gets 503 with a time to come back and nothing ever runs

  # Load: jobs that arrive while the store turns a third of the hosts away.
  Scenario: A host that the store turns away lets callers go to others at once
    When the store turns one of four hosts away for 3 s and two jobs arrive there
    Then the caller gets 503 within 50 ms, is to come back within 0.2 s, and nothing runs
    And the job is accepted by another host, at 202

  Scenario: Results whose saving is not answered keep their positions
    When the store loses answers while results are saved
    Then both hosts list the same results at the same positions, whole

  Scenario: A job of whose acceptance the store tells before it answers runs once
    When a job is accepted by a store that answers a second after it has applied
    Then each item runs once and has one result

  Scenario: A job that is ended stops on the host that runs it
    When a job is ended through the host that does not run it
    Then no item starts later than 1 s after the answer
    And what was listed stays listed

  Scenario: An item that can never be done ends and holds nothing up
    When a server answers 422 to every item
    Then each item is given up after 1 runs

  Scenario: An item that fails each time is given up after the attempts it has
    When a server answers 500 to every item
    Then each item is given up after 3 runs

  Scenario: An item that breaks off goes on where it stopped
    When servers break off each stream after 7 events
    Then both hosts list the same results at the same positions, whole
    And no event was made twice

  Scenario: Online requests take the slots of batch items at once
    When online requests come while batch items fill the servers
    Then no online request waits 0.25 s for its first event
    And both hosts list every result within 15 s

  Scenario: A team's waiting tokens are bounded over all hosts
    When a team sends jobs to both hosts beyond its waiting tokens
    Then what was accepted fits, and the rest got 429

  Scenario: A job's rows go when its results need not be kept any longer
    When a job is done and 120 s and more pass
    Then its results could be read until 120 s after its submission
    And none of its rows is left, and one host deleted them

  Scenario: A planned stop hands jobs over at once, with what was made
    When the host that runs a job is stopped
    Then the other host lists every result within 6 s
    And no event was made twice by items that went on elsewhere

  Scenario: Events that were not written are not taken for written
    When items of a job run at different speeds while their events are written
    Then the events in the store have no gap for any item

  Scenario: Events of two owners' runs are not put together
    When an item's events were written by one owner and again by the next
    Then what the next one wrote replaces the rest of the first one's

  Scenario: A job sent to a stopping host runs elsewhere at once
    When a job is sent to a host that is stopping
    Then the other host lists every result within 4 s

  Scenario: Of long items little is made again when their host is lost
    When the host that runs long items is lost after 4 s
    Then the other host lists every result of long items
    And no item made more than 1.6 s of its events again

  # Guards against LOST at 195 hosts, whose copies of the jobs are read each second or two.
  Scenario: A host whose copy of the jobs lags shows what another host has shown
    When results are read at one host and then at another that reads its copy each 5 s
    Then the other host shows all of them at once
