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

  # Guards against a host that is ended for its memory, with all callers' requests, as many
  # responses without end add up (LOST).
  Scenario Outline: Responses without end are dropped before they fill a host's memory
    When 30 callers ask a server that sends <part> without end, beside 2 MB of a sound server
    Then at most 12 MB of responses are held at any time, and none in the end
    And the sound response is complete and the other callers get an error
    And the log names the server whose responses were dropped, and no other

    Examples:
      | part  |
      | body  |
      | event |

  Scenario: Without a memory limit responses are bounded one by one only
    When 3 callers of a host without a limit ask a server that sends a body without end
    Then no response is dropped for the others

  # Guards against a sound response that pays for a server that sends without end.
  Scenario: The server whose responses hold most loses its largest one
    When a response of 5 MB and 9 of 1 MB from another server are held, with room for 13 MB
    Then one of 1 MB is dropped
