Feature: An entry host uses connections and judges servers by what it saw of them
  Scenario: A request that may run once takes no connection that lay idle
    Given a route whose streams may not be resumed
    When a caller asks, and asks again after 2 s
    Then the server got 2 connections

  Scenario: A request that may be repeated takes a connection that lay idle
    Given a route whose streams may be resumed
    When a caller asks, and asks again after 2 s
    Then the server got 1 connections

  Scenario: A connection is kept for as long as its server names
    Given a route whose streams may be resumed
    When a caller asks a server that names 20 s, and asks again after 10 s
    Then the server got 1 connections

  Scenario: Hosts tell each other which servers answer with errors
    Given a route whose streams may not be resumed
    When one server of four answers every request with an error and five hosts are asked
    Then at most 30 of 120 requests get an error

  Scenario: A server that starts again under its name is judged anew
    When a server that is left out registers with another start
    Then it is used again at once

  Scenario: A server that cannot be reached is not left out for its answers
    When a host fails to connect to a server, and another server breaks off, 10 times each
    Then only the one that broke off is left out

  Scenario: Store calls of a host do not grow with the number of hosts
    When 3 and 12 hosts are idle for 10 s
    Then a host of the larger group makes at most 1.3 times the calls of the smaller
