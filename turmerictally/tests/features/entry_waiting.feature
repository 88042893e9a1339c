Feature: Requests wait on their host for a server with a free slot
  One server of 8 slots, streams of 0.6 s, an objective of 0.3 s.

  Scenario: A request that finds no slot starts with the first that becomes free
    When 8 streams run and another caller comes 0.45 s after them
    Then it is answered whole, its first event within 0.3 s
    And the server never had more than 8 requests

  Scenario: A request that cannot start in time is refused at once
    When 30 callers come at once
    Then those beyond the slots are refused, each within 0.3 s and never sent
    And each of them is told a time to come back, not all the same
    And their log lines tell the share, who is ahead, the wait and the age

  Scenario: A caller that leaves while it waits is dropped at once
    When 8 streams run and a caller that waits leaves
    Then nothing waits any more and the server never saw its request

  Scenario Outline: A host is lost that holds a waiting request
    When 8 streams run through another host and this one is <lost> while a caller waits
    Then the caller has an answer or a closed connection within <within> s
    And a request without an answer was never sent

    Examples:
      | lost    | within |
      | killed  | 0.05   |
      | stopped | 1      |

  Scenario: What a silent host told starves nobody
    When a host tells that a team asks for 1000 slots and falls silent
    Then the others' shares are whole after the time to fall silent

  Scenario: The metrics show what teams ask for and were refused
    When 30 callers come at once and the metrics are read
    Then they show the team's demand, share, wait and refusals

  Scenario: Without the settings requests are placed as before
    When 8 streams run and another caller comes 0.1 s after them without the settings
    Then the server had it in its queue at once
