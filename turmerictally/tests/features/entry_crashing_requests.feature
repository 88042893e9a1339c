Feature: A request that crashes servers is not sent on when it comes again
  # Guards against one request, sent again with new ids at any host, crashing one server
  # after the other (BUDGET), and against refusing the sound ones that share its prompt.
  Scenario Outline: A request that crashes servers soon reaches no more of them
    When the same crashing request comes again and again at six hosts while <event>
    Then later than 3 s after the third crash it reaches at most 3 more servers
    And no sound request is refused for a crash
    And every host can read what the others report
    And no request counts as alone on a server that it shared

    Examples:
      | event                                 |
      | nothing else happens                  |
      | one host after the other restarts     |
      | every host restarts at once           |
      | the hosts of a domain are cut off     |
      | servers write events before they end  |
      | its responses are no streams          |
      | no request names the parts of prompts |

  # Guards against a refusal that promises "not run" for a request that crashed a server.
  Scenario: Callers are told the truth about a request that crashes servers
    When the same crashing request comes again and again at six hosts while nothing else happens
    Then each answer 503 went to one that reached no server and names the time of the next trial
    And each one that crashed a server got 502 and was sent to no other one
