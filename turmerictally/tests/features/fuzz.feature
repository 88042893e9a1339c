Feature: Malformed external input raises only declared errors
  Scenario: Platform responses
    Given arbitrary HTTP responses
    Then the platform client raises only its own errors

  Scenario: Engine reports
    Given arbitrary HTTP responses
    Then engine requests raise only control errors

  Scenario: Engine streams
    Then events do not depend on how their bytes are split
    And every event is delivered, dropped or interrupts the stream

  Scenario: Settings files
    Then any settings are valid or rejected with key paths

  Scenario: Headers and query parameters
    Then no credential reaches a backend server, whatever the case of its header

  # Guards against request smuggling: the C parser is lenient in places.
  Scenario: HTTP messages of callers and backend servers
    Then HTTP messages are refused if a strict parser refuses them, else parsed alike
    And malformed HTTP messages are refused
    And valid HTTP messages are parsed however their bytes are split

  Scenario: What hosts read of each other
    Then digests, rows of hosts, states and items of jobs are read or refused
