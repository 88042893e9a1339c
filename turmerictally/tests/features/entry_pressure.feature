Feature: Memory and stalled connections are bounded with slow readers and large bodies
  Scenario: Callers that stop reading are disconnected
    When 20 callers of a host read no response and one reads slowly
    Then those that read nothing are disconnected within 5 s, with a log line each
    And the slow reader gets its complete response

  Scenario: A burst of large bodies during a planned stop stays within the memory budget
    When 12 bodies of 1.1 MB arrive at once at a host with a budget of 4 MB, and it stops
    Then the reserved bytes stay within the budget and are released
    And the refused requests have not run and get a retry delay
    And every other request gets a complete response

  Scenario: Without a memory limit all large bodies are accepted
    When 12 bodies of 1.1 MB arrive at once at a host without a limit, and it stops
    Then every request gets a complete response
