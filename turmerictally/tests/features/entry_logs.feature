Feature: The log lines of an entry host lead to the cause and stay bounded
  Scenario: Each event has its row on the page, and no row is without its event
    When the code's events are compared with docs/OPERATIONS.md
    Then both name the same

  Scenario: A stalled reader costs no time and lines beyond the bound are counted
    When 20000 lines are written while nobody reads
    Then at most 8000 lines wait and no write took virtual time
    And the reader is told how many lines were dropped once it goes on

  Scenario: An event that repeats is merged into a count
    When one event comes 1000 times in a second
    Then at most 200 of its lines and one count of the rest are written

  Scenario: No key appears in any line
    When callers with good and bad keys make requests
    Then no line holds a key

  Scenario: The story of a broken-off stream names its servers and what befell them
    When a caller's stream meets a server that hangs and the lines of all hosts are explained
    Then the story tells both servers, why the first failed and that the stream ended
    And it holds no other request's lines

  Scenario: The story of an item tells its runs and its job's owners
    When a host that owns a job is lost and an item's lines of all hosts are explained
    Then the story tells the item's runs on both hosts and who took the job over
