Feature: The platform client keeps its call budget and handles faults
  Scenario: The HTTP client gives the same results as the stand-in
    Given a platform stand-in behind HTTP
    Then rows, objects, hosts and weights work through the client

  Scenario: Lost responses are distinguished from refused writes
    Given a platform stand-in behind HTTP
    Then a write whose response is lost may have been applied
    And a write refused in an outage was not applied
    And a write to an address nobody listens on was not applied

  Scenario: Batch writes do not delay configuration writes
    Given a guarded platform in virtual time
    When a hundred batch writes wait
    Then a control write is sent within a tenth of a second
    And without reserved lanes it waits behind them

  Scenario: Batch reads continue while callers' polling uses the whole rate
    Given a guarded platform in virtual time
    When callers read at the full budget for a minute
    Then a batch read is sent at least every 2 seconds
    And all reads together stay within the rate

  Scenario: A platform available again gets no thundering herd
    Given the platform bench
    Then guarded hosts cause fewer refusals after an outage than unguarded ones
    And during an outage each guarded host sends only its probes
