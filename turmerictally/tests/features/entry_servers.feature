Feature: Connection reuse and server health of an entry host
  Scenario: A request that must not be repeated never reuses an idle connection
    Given a route whose streams may not be resumed
    When a caller sends a request and another after 2 s
    Then the server got 2 connections

  Scenario: A request that may be repeated reuses an idle connection
    Given a route whose streams may be resumed
    When a caller sends a request and another after 2 s
    Then the server got 1 connections

  Scenario: A connection is kept for its server's keep-alive time
    Given a route whose streams may be resumed
    When the server's keep-alive is 20 s and the second request comes after 10 s
    Then the server got 1 connections

  Scenario: Hosts share which servers respond with errors
    Given a route whose streams may not be resumed
    When one server of four responds to every request with an error and five hosts get requests
    Then at most 30 of 120 requests get an error

  Scenario: A new incarnation of a server starts without an ejection
    When an ejected server registers with a new start time
    Then it is used again at once

  Scenario: An unreachable server is not ejected for failed requests
    When a host fails to connect to a server, and another server breaks streams, 10 times each
    Then only the one that broke streams is ejected

  Scenario: Store calls of a host do not grow with the number of hosts
    When 3 and 12 hosts are idle for 10 s
    Then a host of the larger group makes at most 1.3 times the calls of the smaller

  # Guards against capacity that nobody uses, as one host lost its path to a server.
  Scenario Outline: A server that one other host avoids is used once the rest are full
    When <count> hosts report one of two servers as failing, and the other one is <state>
    Then the first server is <used>

    Examples:
      | count | state     | used     |
      | 1     | not full  | left out |
      | 1     | full      | used     |
      | 2     | full      | left out |
