Feature: An entry host bounds the effect of faulty servers on itself and its callers
  Scenario Outline: An endless invalid response is cut off, and the request fails over
    When one of two servers sends <part> without end to repeatable requests
    Then every caller gets all events, and the server is cut off after at most 10 MB each

    Examples:
      | part                  |
      | a head                |
      | a line of a head      |
      | bytes other than HTTP |
      | informational heads   |
      | other responses       |
      | an event              |
      | empty events          |
      | comments              |
      | a body                |
      | an error's body       |
      | a chunk's head        |

  # Guards against a host kept busy by long events, each searched again from its start with
  # every part that arrives: callers got no answer for seconds.
  Scenario Outline: The bytes of a long event are searched once
    When <kind> of 900 kB arrives in parts of 1 kB, complete at last
    Then it is one event, and each byte was searched at most 3 times

    Examples:
      | kind                   |
      | an event of one line   |
      | an event with an id    |
      | an event of many lines |

  Scenario Outline: After an endless response a request that may run only once counts as run
    Given a route whose streams may not be resumed
    When every server sends <part> without end
    Then every caller gets 502, 504 or a truncated response, and each request ran at most once

    Examples:
      | part                  |
      | a head                |
      | bytes other than HTTP |
      | informational heads   |
      | an event              |
      | a body                |

  Scenario Outline: After an endless response a batch item runs on another server
    When one of two servers sends <part> without end to batch items
    Then every item is completed by the other server, and the server is cut off after at most 10 MB each

    Examples:
      | part            |
      | a head          |
      | an event        |
      | comments        |
      | an error's body |
      | numbered events |

  Scenario: An endless table copy from a peer is cut off
    When a peer sends a copy of a table without end
    Then the copy is abandoned after at most 17 MB

  Scenario: An endless response of the store is cut off
    When the store sends a response without end
    Then the call fails after at most 20 MB

  Scenario: An endless response of the platform is cut off
    When the platform of a standalone host sends a response without end
    Then the call fails after at most 80 MB

  Scenario: An endless load report of an engine is cut off
    When an engine sends a load report without end
    Then the report fails after at most 80 MB

  # Guards against stalls that a time-out on received bytes does not detect.
  Scenario: A stream that stalls but for occasional bytes fails over
    When one of two servers sends occasional bytes but no event after its first event
    Then no caller waits longer than 2.5 s for all events

  Scenario: A batch item that stalls but for occasional bytes fails over
    When one of two servers sends occasional bytes but no event after an item's first event
    Then every item is done within 10 s

  Scenario Outline: A slow but valid stream is not cut off
    Given a route whose streams <may> be resumed
    When the events of a stream arrive 0.7 s apart
    Then the caller gets all events from one run

    Examples:
      | may     |
      | may     |
      | may not |

  # Guards against mixed-up responses: a late duplicate must not be taken for the response
  # to the next request.
  Scenario: A late duplicate of a response reaches no caller
    When servers send each response again before the next one
    Then every caller gets its own complete response
