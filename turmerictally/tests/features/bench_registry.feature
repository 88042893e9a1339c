Feature: Benchmarks are found by name
  Scenario: Every benchmark is listed with a line
    Then each benchmark module is listed under its own name
    And a report whose bound fails is not ok and says so
