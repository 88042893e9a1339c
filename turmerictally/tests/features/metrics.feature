Feature: A host measures what it does within bounds
  Scenario: Histograms of many hosts merge without loss
    Given any latencies of many teams on many hosts
    Then the merged histogram equals one that saw everything
    And averaging percentiles instead would be wrong

  Scenario: Label sets stay bounded while the busiest teams stay visible
    Given a host that serves 500 teams and may name 10
    Then no more than 10 teams and "other" are exposed
    And a team that becomes busy gets a histogram of its own
    And no value was lost

  Scenario: What operators scrape
    Given a host with requests, refusals and platform calls
    Then the text holds each of them and parses as published
    And the worst-served team and wrongful refusals are found

  Scenario: Decisions are kept within bounds
    Given a decision record of 100 entries
    Then an id's decisions are found in order
    And the oldest ids are forgotten and a long history keeps both ends
    And broken answers of other hosts are refused
