Feature: A host's work for a request and an event is bounded by counts
  # Load: streams whose events come one by one, the usual case on every deployment.
  Scenario: An event passes in one turn of its task
    When 16 streams of 21 events pass through a front and a relay
    Then an event costs at most 1.5 task steps and a request at most 6

  # Load: 2,000 streams with 20 events a second each make no timer of their own.
  Scenario: Deadlines that move on are looked at once in a while
    When 100 exchanges move their deadline 0.9 s ahead each 0.05 s for 5 s
    Then at most 8 looks were taken for each, and none was cancelled
    And each is cancelled 0.9 s after its last move

  Scenario: A deadline that comes to lie before all others is kept to
    When a deadline in 5 s is moved to 0.2 s from now
    Then its block ends after 0.2 s

  Scenario: A fast peer leaves other tasks their turns
    When 16 MB are read from a socket that always has bytes
    Then other tasks run at least once for each 2 MB that is read

  # Guards against a request that is lost as an idle connection is about to be closed.
  Scenario: A read that is cancelled takes no bytes
    When a task reads from a socket that always has bytes and is cancelled
    Then it has got all bytes that were taken, from at most 16 reads

  Scenario: A slow reader stops its sender
    When a peer reads nothing of a connection
    Then at most 8 MB are taken before the sender waits

  Scenario Outline: Callers get answers in the form that they can read
    When a front is sent <requests>
    Then the front answers <answers>

    Examples:
      | requests                         | answers                           |
      | two requests at once             | two, each with its length            |
      | HEAD                             | one without a body                   |
      | HTTP/1.0                         | one that ends with its connection    |
      | an offer of another protocol     | one, then the connection is kept     |
      | a body after leave to go on      | leave to go on, then one             |
      | a head of 20 kB                  | 431                                  |
      | a bare line feed                 | 400                                  |

  Scenario: A request that is served at once writes two lines
    When a caller's request is served at once
    Then its lines are placed, answered
