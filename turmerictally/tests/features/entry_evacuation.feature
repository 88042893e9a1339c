Feature: Evacuated failure domains get no new requests
  # Guards against new requests in a domain after its evacuation was acknowledged.
  Scenario Outline: New requests go to other domains from 1 s after the acknowledgement
    Given a domain with two of four servers, and <load>
    When it is evacuated, <meanwhile>
    Then no request that starts after that time reaches its servers
    And requests that ran there complete in place
    And every request is served

    Examples:
      | load                                   | meanwhile                               |
      | streams of callers                     | and nothing else happens                |
      | streams that break at another server   | and nothing else happens                |
      | batch items                            | and nothing else happens                |
      | streams of callers                     | and the configuration changes           |
      | streams of callers                     | and a server registers there            |
      | streams of callers                     | and all other servers fail once         |
      | streams of callers                     | and the operator writes it twice        |
      | streams of callers                     | while the store turns two hosts away    |
      | batch items                            | while the store turns two hosts away    |
      | streams of callers                     | and a host starts again without store   |

  Scenario: With all domains evacuated, requests are refused at once and don't run
    When all domains are evacuated
    Then further requests get 503 within 50 ms, with a retry delay of 1 to 2 s, and do not run
    And a batch job is accepted, and its items run once one domain is available again

  Scenario: An ended evacuation does not return with an older state
    When an evacuation ends while the store refuses two hosts
    Then each host uses the domain again within 4 s, and still does when the store is available

  Scenario: Metrics show evacuated domains and cold servers
    When a domain is evacuated while a stream runs there, and another domain's server is cold
    Then each host's metrics show the evacuation's age, its requests there and all hosts
    And they show the cold server's permits, its requests and the time until it is warm

  Scenario Outline: Invalid operator rows have no other effect
    When the operator writes <row>
    Then each host logs <line>, and uses all servers

    Examples:
      | row                          | line                                       |
      | an evacuation of nowhere     | domain_evacuated of a domain not known     |
      | an evacuation without a name | evacuation_unreadable                      |
      | a row of another kind        | nothing                                    |

  Scenario: An evacuation doesn't depend on its row's value
    When the operator writes an evacuation of "a" whose value is not JSON
    Then each host excludes "a"

  Scenario Outline: Older states of an evacuation do not replace newer ones
    When these updates are applied: <updates>
    Then the domain is <state>

    Examples:
      | updates                                | state         |
      | begin 5                                | evacuated     |
      | begin 5, begin 5                       | evacuated     |
      | begin 5, end 7                         | not evacuated |
      | begin 5, end 7, begin 5                | not evacuated |
      | begin 5, end 7, begin 9                | evacuated     |
      | end 7, begin 5                         | not evacuated |
      | begin 9, end 7                         | evacuated     |
      | begin 5, unsure end 7, begin 5         | evacuated     |
      | begin 5, begin 9, end 7                | evacuated     |
