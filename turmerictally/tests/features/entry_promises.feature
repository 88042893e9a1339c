Feature: A caller is told that its request has not run only if that is known
  # Guards against a server's failure that reaches a caller as a promise, so that the
  # request comes again and runs twice (REFUSED).
  Scenario Outline: A server's status that promises without a statement is no promise to the caller
    When a server runs <kind> that may run once and then answers <status> <signed>
    Then their callers get 502, each request ran once, and the log names its status

    Examples:
      | kind     | status | signed              |
      | requests | 503    | with a signature    |
      | requests | 429    | with a signature    |
      | requests | 408    | with a signature    |
      | requests | 503    | without a signature |
      | requests | 429    | without a signature |
      | requests | 408    | without a signature |
      | streams  | 503    | with a signature    |
      | streams  | 429    | with a signature    |
      | streams  | 408    | without a signature |

  # Guards against callers that get a failure though another server has room.
  Scenario Outline: A request that may run again is served by another server instead
    When a server runs <kind> and then answers <status> <signed>
    Then their callers get the response of the other server

    Examples:
      | kind                        | status | signed              |
      | requests that may run again | 503    | with a signature    |
      | requests that may run again | 429    | with a signature    |
      | requests that may run again | 408    | with a signature    |
      | requests that may run again | 401    | without a signature |
      | requests that may run again | 404    | without a signature |
      | requests that may run again | 302    | without a signature |
      | streams that may be resumed | 503    | with a signature    |
      | streams that may be resumed | 429    | with a signature    |
      | streams that may be resumed | 404    | without a signature |

  Scenario: What a server says for itself is passed on
    When a server runs requests that may run once and then answers 404 with a signature
    Then their callers get its response

  # Guards against refusals that no server gave, which callers take for the host's own (DENIED).
  Scenario Outline: An unsigned refusal does not reach the caller
    When a server runs requests that may run once and then answers <status> without a signature
    Then their callers get 502, each request ran once, and the log names its status

    Examples:
      | status |
      | 401    |
      | 404    |
      | 302    |

  # Guards against a server that goes on getting its share, as its failures count as successes.
  Scenario Outline: A server that fails with such a status is ejected like one that answers 500
    When a server fails many requests with <status>, and another one with 500 in a second play
    Then it ran no more of them than that one, and was ejected

    Examples:
      | status |
      | 429    |
      | 408    |

  # Guards against a second run of a request that a server says to have answered.
  Scenario: A success that states not to have run is not believed
    When a server runs requests that may run once and answers 200 that states not to have run
    Then none of them ran at the other server or was answered as not run

  Scenario: A refusal that states not to have run is still sent elsewhere
    When a server refuses requests that may run once, stating that they have not run
    Then their callers get the response of the other server

  Scenario: The response to a request that no server may take is a true promise
    When all servers refuse requests that may run once, stating that they have not run
    Then their callers get 503 with a delay, and none of them ran
