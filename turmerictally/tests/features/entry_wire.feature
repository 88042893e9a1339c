Feature: Routing, response framing, quota refusals and persistent connections
  Scenario: A request is routed by the longest matching prefix
    When a route is split by a longer prefix that goes to another service
    Then each request goes to the service of its longest prefix

  Scenario Outline: Responses that are not streams are forwarded complete or not at all
    When a server responds to a repeatable request <how>
    Then the caller gets <what>

    Examples:
      | how                              | what                        |
      | with a length                    | the body with its signature |
      | without a length, to the end     | the body with its signature |
      | with less than its length, once  | the body with its signature |
      | with less than its length, twice | 502                         |
      | with its own error               | 500 with its signature      |

  Scenario: Requests over the quota get 429 with a retry delay and do not run
    When a team requests three times its quota
    Then the refused requests get 429 with a retry delay and do not run

  Scenario: Connections are persistent until either side requests to close
    When a caller requests to close after its last request, and the server after each
    Then the caller's connection is kept until its last request, the server's is not
