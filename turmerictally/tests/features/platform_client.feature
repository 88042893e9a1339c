Feature: The platform is reached within a budget and through its faults
  Scenario: The HTTP client does what the stand-in does
    Given a platform stand-in behind HTTP
    Then rows, objects, hosts and weights answer through the client

  Scenario: Lost answers are told apart from refused writes
    Given a platform stand-in behind HTTP
    Then a write whose answer is lost may have been applied
    And a write refused in an outage was not applied
    And a write to an address nobody listens on was not applied

  Scenario: Batch writes leave the host's budget to configuration
    Given a guarded platform in virtual time
    When a hundred batch writes wait
    Then a control write passes within a tenth of a second
    And without reserved lanes it waits behind them

  Scenario: Batch reads go on while a caller's polling takes the whole rate
    Given a guarded platform in virtual time
    When callers read as often as the budget allows for a minute
    Then a batch read passes at least every 2 seconds
    And all reads together stay within the rate

  Scenario: A returning platform meets no stampede
    Given the platform bench
    Then guarded hosts cause fewer refusals after an outage than unguarded ones
    And an outage costs each guarded host only its probes
