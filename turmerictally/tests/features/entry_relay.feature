Feature: An entry host forwards requests to backend servers, with retries and failover
  Scenario: Events are forwarded as they arrive, unchanged
    When a caller requests a stream
    Then each event arrives within 20 ms, in order and unchanged
    And the server saw the caller's method, target, body and request id
    And it saw the team and no key

  Scenario: Events in quick succession are sent to the caller together
    When a caller requests a stream whose events are 2 ms apart
    Then each event arrives within 20 ms, in order and unchanged
    And the events arrive in at most a third as many pieces
    And the response ends within 1 ms of its last event

  Scenario: A chunked request body reaches the server unchanged
    When a caller sends a chunked body
    Then the server saw that body

  Scenario Outline: A truncated stream resumes on another server only if it may
    Given a route whose streams <may> be resumed
    When the first server truncates its response within an event
    Then the caller gets <end>
    And the request ran <runs> times

    Examples:
      | may     | end                   | runs |
      | may     | every event once      | 2    |
      | may not | the first events only | 1    |

  Scenario: A request that may run only once does not count as unrun after its response is lost
    Given a route whose streams may not be resumed
    When the server runs a request and its response is lost
    Then the caller gets 502 and the request ran 1 times

  Scenario: A server that refuses a request for another instance is skipped
    Given a route whose streams may not be resumed
    When one server's address belongs to another instance
    Then every request is served by the other server and none ran twice

  Scenario: A response to another request is skipped
    When a server first sends a response to another request
    Then the caller gets every event once

  Scenario: A connection with bytes after a complete response is not reused
    When a server sends bytes after a complete response
    Then the next request uses another connection and gets a complete response

  Scenario: A request is refused at once, without running, while all servers are full
    When callers request three times the servers' capacity
    Then refusals come within 50 ms with a retry delay
    And no refused request ran

  Scenario: A request is cancelled on its server when the caller disconnects
    When a caller disconnects in the middle of a stream
    Then the server's run ends within 50 ms

  Scenario: A request past its deadline gets a final response
    Given a route whose streams may not be resumed
    When the servers do not respond
    Then the caller gets 504 within 5.0 s

  Scenario: A request fails over from a hanging server while the caller still waits
    When one server hangs
    Then every caller gets all events within 1.9 s

  Scenario: Hosts report failing servers to each other
    Given a route whose streams may not be resumed
    When one of four servers is unreachable and many callers send requests to five hosts
    Then at most 30 of 120 requests are sent to it

  Scenario Outline: Requests that cannot be served get a status for the reason
    When a caller sends <request>
    Then it gets <status>

    Examples:
      | request                          | status |
      | a path without a route           | 404    |
      | an unknown key                   | 401    |
      | a length and a transfer encoding | 400    |
      | a body over the limit            | 413    |

  Scenario: A host without a configuration refuses requests as unavailable
    When a host starts that cannot read the store and has no peers
    Then its callers get 503 and it reports to the load balancer that it is not ready

  Scenario: Only a newer configuration is applied
    When a route is moved to another service and an older version is read again
    Then requests go to the new service only

  Scenario: A planned stop completes the requests that were read
    When a host is stopped while callers stream on persistent connections
    Then every request that was read gets a complete response
    And the host had reported to the load balancer that it is not ready

  # Guards against cutting off requests as a stop closes the listener.
  Scenario: A planned stop serves connections until the listener is closed
    When callers connect and send a request each millisecond while a host closes its listener
    Then every caller that got a connection gets a complete response
