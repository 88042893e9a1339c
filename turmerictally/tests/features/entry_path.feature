Feature: The work of a host per request and per event is bounded
  # Load: streams whose events arrive one at a time, the typical case everywhere.
  Scenario: Forwarding an event takes about one task step
    When 16 streams of 21 events pass through an HTTP server and a forwarder
    Then an event costs at most 1.5 task steps and a request at most 6

  # Load: 2,000 streams with 20 events a second each, too many to move a trio deadline
  # for each event.
  Scenario: Timers whose deadlines keep moving are checked rarely
    When 100 exchanges move their deadline 0.9 s ahead every 0.05 s for 5 s
    Then each timer is checked at most 8 times, and none is cancelled
    And each is cancelled 0.9 s after its last move

  Scenario: A deadline that moves before all others takes effect
    When a deadline in 5 s is moved to 0.2 s from now
    Then its block is cancelled after 0.2 s

  Scenario: A fast peer does not starve other tasks
    When 16 MB are read from a socket that always has data
    Then other tasks run at least once for every 2 MB that is read

  # Guards against losing a request that arrives as its idle connection is closed.
  Scenario: A cancelled read consumes no bytes
    When a task reads from a socket that always has data and is cancelled
    Then it received all bytes that were consumed, in at most 16 reads

  Scenario: A slow reader blocks its sender
    When a peer does not read from its connection
    Then at most 8 MB are accepted before the sender blocks

  Scenario Outline: Responses are framed as each request allows
    When an HTTP server receives <requests>
    Then the HTTP server responds with <responses>

    Examples:
      | requests                         | responses                         |
      | two requests at once             | two, each with a length           |
      | HEAD                             | one without a body                |
      | HTTP/1.0                         | one that ends with the connection |
      | an offer to upgrade the protocol | one, and the connection is kept   |
      | a body after 100 Continue        | 100 Continue, then one            |
      | a head of 20 kB                  | 431                               |
      | a bare line feed                 | 400                               |

  Scenario: A request that is served at once writes two log lines
    When a caller's request is served at once
    Then its log lines are placed, answered
