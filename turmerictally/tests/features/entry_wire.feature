Feature: Routes, answers and connections are handled as their protocol says
  Scenario: The longest prefix decides the route
    When a route is split by a longer prefix that goes to another service
    Then each request goes to the service of its longest prefix

  Scenario Outline: Answers that are no streams pass whole or not at all
    When a server answers a request that may be repeated <how>
    Then the caller gets <what>

    Examples:
      | how                              | what                        |
      | with a length                    | the body with its signature |
      | without a length, to its end     | the body with its signature |
      | with less than its length, once  | the body with its signature |
      | with less than its length, twice | 502                         |
      | with its own error               | 500 with its signature      |

  Scenario: Requests over the quota get 429 with a time to come back and do not run
    When a team asks for three times its quota
    Then what was refused got 429 with a time to come back and did not run

  Scenario: Connections are kept, and closed where either side asks for it
    When a caller asks to be kept and then to close, and the server closes
    Then the caller's connection is kept until it asks, the server's is not
