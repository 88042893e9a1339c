Feature: Broken input from outside ends in a listed error
  Scenario: Answers of the platform
    Given any answers over HTTP
    Then the platform client raises only its own errors

  Scenario: Reports of engines
    Given any answers over HTTP
    Then engine calls raise only control errors

  Scenario: Streams of engines
    Then events are the same however their bytes are split
    And any event is delivered, dropped or a cut

  Scenario: Settings files
    Then any settings are valid or have faults with key paths

  Scenario: Headers and query parameters
    Then no key passes to a backend server however it is written

  # Guards against requests smuggled past the parser in C, which is lenient in places.
  Scenario: Messages of callers and backend servers
    Then HTTP messages that a strict parser refuses are refused, and others mean the same
    And malformed HTTP messages are refused
    And sound HTTP messages are read however their bytes are split
