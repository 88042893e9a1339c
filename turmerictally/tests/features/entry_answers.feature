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
