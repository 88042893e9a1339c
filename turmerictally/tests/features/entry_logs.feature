Feature: The structured log of an entry host explains failures and is bounded
  Scenario: Every log event is documented, and every documented event exists
    When the code's events are compared with docs/OPERATIONS.md
    Then they list the same events

  Scenario: A stalled reader delays nothing, and lines beyond the limit are counted
    When 20000 lines are written while the reader is stalled
    Then at most 8000 lines are buffered and no write took virtual time
    And the number of dropped lines is logged once the reader continues

  Scenario: Repeated events are merged into a count
    When one event is logged 1000 times in a second
    Then at most 200 of its lines and a count of the rest are written

  Scenario: No API key appears in any log line
    When callers with valid and invalid keys make requests
    Then no line holds a key

  Scenario: The timeline of a failed stream names its servers and their failures
    When a caller's stream is sent to a hanging server and its timeline is built
    Then the timeline shows both servers, why the first failed and the end of the stream
    And it contains no lines of other requests

  Scenario: The timeline of a batch item shows its runs and its job's owners
    When a host that owns a job fails and the timeline of an item is built
    Then the timeline shows the item's runs on both hosts and the takeover of the job
