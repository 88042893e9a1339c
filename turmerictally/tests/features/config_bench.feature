Feature: Bounds of the configuration's benchmarks

  Scenario: A change is in force everywhere within the bound at 13 and 100 hosts
    Then the spread of changes keeps its bounds

  Scenario: Waiting for confirmation refuses nobody wrongly where failing closed does
    Then the chosen policy when cut off keeps its bounds
    And failing closed after 5 seconds refuses some wrongly
    And reporting at the commit serves a withdrawn key

  Scenario: The configuration of 7,600 teams fits into a host
    Then the view of every team keeps its bound of memory
