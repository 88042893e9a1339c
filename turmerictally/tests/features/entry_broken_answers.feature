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
