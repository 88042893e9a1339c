Feature: A host with little memory, callers that read slowly, and large bodies
  Scenario: Callers that take nothing of their answers are ended
    When 20 callers of a host read nothing and one reads slowly
    Then those who read nothing are ended within 5 s, with a line each
    And the one who reads slowly has its whole answer

  Scenario: A burst of the largest bodies during a planned stop
    When 12 bodies of 1.1 MB come at once to a host that may hold 4 MB, and it stops
    Then what it holds stays below that, and is given back
    And what is refused has not run and is told when to come back
    And every other has its whole answer

  Scenario: Without a limit all of the largest bodies are taken
    When 12 bodies of 1.1 MB come at once to a host without a limit, and it stops
    Then every one has its whole answer
