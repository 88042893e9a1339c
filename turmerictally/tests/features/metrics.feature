Feature: A host measures its work in bounded memory
  Scenario: Histograms of several hosts merge without loss
    Given any latencies of many teams on many hosts
    Then the merged histogram equals one that recorded every value
    And averaging percentiles instead would be wrong

  Scenario: Label sets stay bounded while the busiest teams stay visible
    Given a host that serves 500 teams and exposes at most 10 by name
    Then no more than 10 teams and "other" are exposed
    And a team that becomes busy gets a histogram of its own
    And no value was lost

  Scenario: The metrics text holds every counter and latency
    Given a host with requests, refusals and platform calls
    Then the rendered text holds all of them and parses as Prometheus text
    And the worst-served team and refusals within the rate are found

  Scenario: The decision log is bounded
    Given a decision log of 100 entries
    Then an id's decisions are returned in order
    And the oldest ids are evicted and a long history keeps its first and last entries
    And invalid responses of other hosts raise ValueError
