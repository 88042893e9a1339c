Feature: Each request that was read whole gets a complete and true answer if it can
  # Guards against ending an answer for its server's silence when the server would have
  # gone on and no other server could take over.
  Scenario Outline: A silent server's request waits if no other server can take over
    Given <others>
    When a server falls silent for 1.5 s before event <number> of a stream
    Then the caller gets all events, and the request ran once

    Examples:
      | others                                | number |
      | no other server                       | 1      |
      | no other server                       | 5      |
      | another server that is full           | 1      |
      | another server that is full           | 5      |
      | another server that is known as down  | 5      |
      | others that refused as often as tried | 5      |

  Scenario: A silent server's request fails over once another server can take over
    Given no other server
    When a server falls silent in a stream, and another registers 1.2 s later
    Then the caller gets all events, the rest from the other server within 0.5 s

  # Guards against giving up a silent server for a slot that another request then gets.
  Scenario: A request taken from a silent server waits if it loses its slot to another
    Given another server whose slot is taken as the request fails over to it
    When a server sends no event, and the slot is free again 1 s after its loss
    Then the caller gets all events, and the request ran twice

  # Guards against a request that ends without any answer after an internal error.
  Scenario Outline: After an unexpected error the response tells whether a server may have run it
    Given no other server
    When an unexpected error strikes a request <when>
    Then the caller gets <response>, and the error is logged with the request's id

    Examples:
      | when                        | response             |
      | before it is sent           | 503 with a delay     |
      | after it is sent            | 502                  |
      | in its started stream       | a truncated response |
      | in the job that it submits  | 502                  |

  # Guards against truncating a stream for want of a server while one is about to be free.
  Scenario Outline: A started stream waits for a server as long as its caller does
    Given <others>
    When a server breaks off a stream, and 1 s later <what>
    Then the caller gets all events, and the request ran twice

    Examples:
      | others                                      | what                |
      | no other server                             | it is still there   |
      | another server that must not be sent to     | the other may be    |
      | another server that is full for a long time | the other has slots |
      | others that refuse more often than allowed  | they accept it      |

  # Guards against closing a connection that its caller may still use under the limits
  # before or after a change of the configuration.
  Scenario Outline: A changed idle time-out closes no connection too early
    When the idle time-out changes from <before> s to <after> s while a connection is <state>
    Then a request on it after <idle> s is answered, and new ones are closed after <after> s

    Examples:
      | before | after | state  | idle |
      | 15     | 3     | in use | 12   |
      | 3      | 15    | idle   | 12   |

  Scenario: A raised limit on headers holds on kept connections
    When the limit on headers rises from 16 kB to 32 kB while a connection is idle
    Then a request on it with a head of 20 kB is answered

  # Guards against a refusal in the middle of a response to a caller that reads slowly.
  Scenario: A response about a job that is cut at its deadline is only truncated
    When a caller does not read the body of a job's item until its deadline has passed
    Then it gets a part of one response, and its connection is closed

  # Guards against requests without any answer, as the next ones arrived in parts while
  # they were served (LOST).
  Scenario: Requests that follow in parts while one is served are all answered
    When a caller sends three further requests in two parts each while the first is served
    Then all four are answered whole, in order
