Feature: Operators see what the fleet did and why
  Scenario: A request is explained, measured and counted
    Given a running deployment
    When callers send good, streamed and refused requests to both hosts
    Then any host explains a request that another one ran
    And a finished job is explained with its range and host
    And an unknown id is answered as not found
    And the scraped text counts requests, refusals and platform calls
    And the measures merge both hosts and hold no key
    And a caller's key does not open the operators' pages
