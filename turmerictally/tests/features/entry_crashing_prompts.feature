Feature: A part of a prompt that crashes servers is not sent on
  # Guards against requests with one prompt part crashing one server after the other.
  Scenario Outline: A prompt part that crashes servers soon reaches no more of them
    When requests whose prompts hold a crashing part arrive at six hosts while <event>
    Then later than 3 s after the fifth crash at most 3 more of them reach a server
    And then sound requests with the same first part are served at least half as often as before

    Examples:
      | event                              |
      | nothing else happens               |
      | one host after the other restarts  |
      | every host restarts at once        |
      | the hosts of a domain are cut off  |
      | batch items hold that part as well |
      | responses end with the connection  |

  # Guards against accepted batch items that wait without end for a prompt part under
  # which only online requests crash servers.
  Scenario: Batch items are done though online requests with the same part crash servers
    When requests whose prompts hold a crashing part arrive at six hosts while batch items hold that part and crash nothing
    Then each of these items is done before its job is due
    And later than 3 s after the fifth crash at most 3 more servers crash

  # Guards against a refusal that promises "not run" for a request that crashed a server.
  Scenario: Callers are told the truth about requests that crash servers
    When requests whose prompts hold a crashing part arrive at six hosts while nothing else happens
    Then each request answered 503 never reached a server and says when to come back
    And each one that crashed a server got 502 and was sent to no other server

  # Guards against callers refused when servers end for a cause outside their prompts.
  Scenario: Servers that lose power together put no prompt into quarantine
    When half of the servers lose power at once while sound requests run
    Then no prompt part is quarantined

  # Guards against parts that only ever stand in responses of one piece being accused.
  Scenario: A complete response that is no stream clears the parts of its prompt
    When a server answers a request with a plain body and another one crashes just after
    Then the shared parts of the prompt are not accused
