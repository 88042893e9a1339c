Feature: What a faulty server writes is not taken for a complete or truthful response
  # Guards against "not run" being told of a request that a server runs.
  Scenario Outline: A refusal that a server writes once more is not taken for the next response
    Given a route whose streams may not be resumed
    When servers write an earlier refusal <how> again, on a kept connection, before they run a request
    Then no request that ran was answered 503 or 429, and none ran twice

    Examples:
      | how           |
      | with its id   |
      | without an id |

  # Guards against an error's text in a stream, or a stream that ends early as whole.
  Scenario Outline: A stream that broke off goes on with events or breaks off
    When a stream breaks off and the next server answers <with>
    Then the caller has the events of the first run only, and its response is broken off

    Examples:
      | with                                   |
      | 500                                    |
      | 500 without a signature                |
      | 404                                    |
      | 503 that does not say not run          |
      | 200 with a plain body                  |
      | a stream that holds an error's text    |
      | a stream that holds a response's head  |
      | a stream whose events have no ids      |
      | a stream of another request's events   |
