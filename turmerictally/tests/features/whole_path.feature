Feature: A request, a batch job and a configuration change end to end
  Real sockets, two failure domains, every host in one process.

  Scenario: The unmodified OpenAI client works
    Given a running deployment
    Then the client lists the models
    And the client gets a complete chat response
    And the client gets a complete streamed response
    And the client gets a plain completion
    And a request for an unknown model is refused as not run

  Scenario: A batch job keeps every item's outcome
    Given a running deployment
    When the client runs a batch with a broken line and an unknown model
    Then the job completes with 10 items done and 2 failed
    And every item has exactly one outcome in the output and error files
    And another team can read neither the job nor its files

  Scenario: A revoked key is refused for new requests, open connections and streams
    Given a running deployment
    And a stream of 4000 tokens and an idle connection of a fresh key
    When the operator revokes the key
    Then the stream ends with an error event and without the end marker
    And the idle connection's next request is refused as unauthenticated

  Scenario: No backend server sees a caller's key
    Given a running deployment
    When the caller sends its key in every place that may hold a key
    Then no server has received the key

  Scenario: Invalid input gets an error and the host keeps serving
    Given a running deployment
    Then each invalid request gets its status
      | request            | status |
      | broken json        | 400    |
      | wrong types        | 400    |
      | unknown model      | 404    |
      | oversized body     | 413    |
      | two lengths        | 400    |
      | nested json        | 400    |
      | no key             | 401    |
      | unknown path       | 404    |
      | bad multipart      | 400    |
    And the host serves the next request

  Scenario: A team's rate limit applies to both hosts together
    Given a running deployment
    When team blue sends 6 requests to each host at once
    Then at most 3 are served and the others get a Retry-After header

  Scenario: A non-idempotent request resent to another host runs once
    Given a running deployment
    When a confirmation is sent to both hosts with one idempotency key
    Then the service has executed it once and all responses are the same

  Scenario: A planned stop completes requests and closes every connection
    Given a running deployment
    And a stream of 400 tokens and an idle connection of a fresh key
    When every host is stopped
    Then the stream ends with the end marker
    And the stop is complete

  Scenario: Requests are served while the platform is down
    Given a running deployment
    When the platform is down
    Then the client gets a complete chat response
    And a job and a configuration change are refused as not run
    And a job is accepted after the outage

  Scenario: An order is applied and the last server of a model is not unloaded
    Given a running deployment
    When the operator orders one load and then every unload
    Then the engine has loaded the model and one engine still serves the other
    And the audit trail names the operator of each order

  Scenario: An order repeated while the platform is down still ends
    Given a running deployment
    When the operator orders a load and repeats the order while the platform is down
    Then the response says that the platform is unavailable and when to retry
    And the order ends as applied after the outage
