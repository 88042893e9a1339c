Feature: Each caller gets the whole answer to its own request
  Scenario: A stream cut at any byte goes on without a lost or repeated token
    Given a stream of an engine as bytes
    When it is cut at each byte and resumed from the token after the last whole event
    Then the caller always has every token once and the end
    But without following offsets the check finds a violation

  Scenario: A cut stream is resumed on its server or on another one
    When streams are cut after any number of tokens and servers crash
    Then every stream is whole or says that it is not
    And most of them are whole

  Scenario: Crossed and repeated answers are found out
    When engines answer with another request's answer or twice
    Then no caller gets a token that is not its own
    But without following ids the caller gets foreign tokens

  Scenario: A caller who leaves cancels the engine's work
    When a caller leaves in the middle of a stream and another leaves a whole answer
    Then the engine runs nothing soon after
    But without cancelling the engine runs on

  Scenario: A slow reader uses bounded memory and is cut
    When a caller stops reading a stream
    Then the relay held no more than its buffer
    And the stream ended after the slow reader's time-out

  Scenario: A withdrawn key ends a stream and a waiting request
    When a key is withdrawn in mid-stream and while a request waits
    Then the stream ends with the error "key_withdrawn"
    And the waiting request is refused as not run

  Scenario: Not run is said only when no byte was sent
    When a confirmation meets a refused connection, a lost connection and a late answer
    Then only the refused connection is told as not run
    And no confirmation ran twice
    But with every error taken as not sent a confirmation runs twice

  Scenario: No backend server sees a caller's key
    When requests carry keys in headers, cookies, connection options and the query
    Then the backend servers saw none of them

  Scenario: Retries stay within the budget in a brown-out
    When every server fails all requests
    Then attempts stay below 1.2 for each request
    But without a budget they reach 3 for each request

  Scenario: Odd paths, queries and headers reach a service unchanged
    When requests with reserved characters, other alphabets and dot segments are sent
    Then the service got each path as one path
    And dot segments were refused as not run
