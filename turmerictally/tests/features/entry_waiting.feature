Feature: Requests wait on their host for a server with a free slot
  One server with 8 slots, streams of 0.6 s, a latency objective of 0.3 s.

  Scenario: A request without a free slot starts when the first slot becomes free
    When 8 streams run and another caller arrives 0.45 s after them
    Then its response is complete, with the first event within 0.3 s
    And the server never had more than 8 requests

  Scenario: A request that cannot start in time is refused at once
    When 30 callers arrive at once
    Then those beyond the slots are refused, each within 0.3 s and without being sent
    And each of them gets a retry time, spread over different values
    And their log lines contain the share, the queue position, the wait and the age

  # Guards against callers who wait in vain, as a large limit counts for many slots.
  Scenario: A limit above what a server's slots serve adds no room
    When 30 callers arrive at once at a server that names a limit of 2000 a second
    Then those beyond the slots are refused, each within 0.3 s and without being sent
    And at most 2 of them waited first

  Scenario: A caller that disconnects while it waits is removed at once
    When 8 streams run and a waiting caller disconnects
    Then the wait queue is empty and the server never got its request

  Scenario Outline: A host ends while a request waits on it
    When 8 streams run through another host and this one is <ended> while a caller waits
    Then the caller has a response or a closed connection within <within> s
    And a request without a response was never sent

    Examples:
      | ended   | within |
      | killed  | 0.05   |
      | stopped | 1      |

  Scenario: The reported demand of an unreachable host takes no share from others
    When a host reports that a team demands 1000 slots and becomes unreachable
    Then the other teams have their full shares once the host counts as unreachable

  Scenario: The metrics show the demand and the refusals of teams
    When 30 callers arrive at once and the metrics are read
    Then they show the team's demand, share, wait and refusals

  Scenario: Without the settings requests do not wait on their host
    When 8 streams run and another caller arrives 0.1 s after them without the settings
    Then the server had the request in its own queue at once

  # Guards against callers of a service who are refused, as callers of another service
  # wait on other hosts.
  Scenario: Callers of another service who wait elsewhere do not count
    When callers of another service wait on one host and a caller finds all slots used on another
    Then that caller waits for the next slot and is served

  Scenario: Waiting callers of hosts of the version before count for any service
    When a host of the version before reports 9 waiting callers
    Then they count for each service until the host is unreachable
