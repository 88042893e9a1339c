Feature: Operators query decisions, metrics and latencies of the fleet
  Scenario: A request is explained, measured and counted
    Given a running deployment
    When callers send good, streamed and refused requests to both hosts
    Then each host explains every request, whichever host handled it
    And a finished job is explained with its range and host
    And an unknown id gives a 404 response
    And the scraped text counts requests, refusals and platform calls
    And the measures merge both hosts and contain no key
    And a caller's key is rejected by the operators' endpoints
