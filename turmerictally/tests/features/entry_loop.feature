Feature: A host tells how long its event loop is busy, and what holds it
  # Guards against a host that stands still without a line that says where.
  Scenario: While one function holds the event loop, a line names it
    When a function holds the event loop until a line about it is written
    Then that line names the function
    And the line at the end of the pass names it too
    And the metrics count one long pass of the loop

  Scenario: Short passes of the event loop are counted and not logged
    When 50 passes of the event loop do next to nothing
    Then only passes that the metrics count as long have a line
    And the metrics count at least 50 passes of the loop
