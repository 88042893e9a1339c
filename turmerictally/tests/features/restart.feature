Feature: Hosts restart and die without harm
  Real sockets, two hosts in each of two failure domains.

  Scenario: A rolling restart of all hosts under load cuts no request
    Given a running deployment with two hosts in each domain
    And callers that send to ready hosts all the time
    When every host is stopped and replaced, one after another
    Then no request was cut and none was refused as unrouted

  Scenario: A batch job outlives the host that runs it
    Given a running deployment with two hosts in each domain
    When a batch of 60 slow items runs and the hosts that work on it are killed
    Then the job completes on the other hosts with one outcome for each item
