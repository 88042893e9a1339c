Feature: Each caller gets the complete response to its own request
  Scenario: A stream cut at any byte resumes without a lost or repeated token
    Given a stream of an engine as bytes
    When it is cut at each byte and resumed from the token after the last complete event
    Then the caller always receives every token once and the end marker
    But without offset checks a violation is found

  Scenario: A cut stream is resumed on its server or on another one
    When streams are cut after any number of tokens and servers crash
    Then every stream is complete or ends with an error event
    And most of them are complete

  Scenario: Crossed and repeated responses are detected
    When engines respond with another request's response or twice
    Then no caller receives a token of another request
    But without id checks the caller receives tokens of another request

  Scenario: A caller who disconnects cancels the engine's work
    When one caller disconnects in mid-stream and another before a non-streamed response
    Then the engine is idle soon after
    But without cancelling the engine runs on

  Scenario: A slow reader uses bounded memory and is cut
    When a caller stops reading a stream
    Then the relay held no more than its buffer
    And the stream ended after the slow reader's time-out

  Scenario: A withdrawn key ends a stream and a waiting request
    When a key is withdrawn in mid-stream and while a request waits
    Then the stream ends with the error "key_withdrawn"
    And the waiting request is refused as not run

  Scenario: Not run is reported only when no byte was sent
    When a confirmation meets a refused and a lost connection and a late response
    Then only the refused connection is reported as not run
    And no confirmation ran twice
    But with every error treated as not sent a confirmation runs twice

  Scenario: No backend server sees a caller's key
    When requests carry keys in headers, cookies, connection options and the query
    Then the backend servers saw none of them

  # Guards against a server's claim that a request has not run, which callers take for
  # the host's own.
  Scenario: A server cannot tell in the host's name whether a request ran
    When a service answers a confirmation with 503 and says in the host's name that it has not run
    Then the caller gets its status without that claim

  Scenario: Retries stay within the budget in a brown-out
    When every server fails all requests
    Then attempts stay below 1.2 for each request
    But without a budget they reach 3 for each request

  Scenario: Odd paths, queries and headers reach a service unchanged
    When requests with reserved characters, other alphabets and dot segments are sent
    Then the service got each path as one path
    And dot segments were refused as not run
