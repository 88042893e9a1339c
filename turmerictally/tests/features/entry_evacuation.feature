Feature: Nothing new reaches an evacuated failure domain
  # Guards against EVAC.
  Scenario Outline: What is new goes to other domains from a second after the acknowledgement on
    Given a domain with two of four servers, and <load>
    When it is evacuated, <meanwhile>
    Then nothing that began a second later reaches its servers
    And what ran there ended in place, whole
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

  Scenario: With all domains evacuated, callers are refused at once and nothing runs
    When all domains are evacuated
    Then further requests get 503 within 50 ms, are to come back after 1 to 2 s, and do not run
    And a batch job is accepted, and its items run once a domain is back

  Scenario: An evacuation that was taken back does not return with older knowledge
    When an evacuation is taken back while the store turns two hosts away
    Then each host uses the domain again within 4 s, and goes on using it when the store is back

  Scenario: Metrics tell what is evacuated and cold
    When a domain is evacuated while a stream runs there, and another domain's server is cold
    Then each host's metrics tell the domain's age, what runs there, and that all hosts know
    And they tell the cold server's permits, what was sent and when it is warm

  Scenario Outline: Odd rows of the operator change nothing else
    When the operator writes <row>
    Then each host tells <line>, and serves from all servers

    Examples:
      | row                          | line                                       |
      | an evacuation of nowhere     | domain_evacuated of a domain not known     |
      | an evacuation without a name | evacuation_unreadable                      |
      | a row of another kind        | nothing                                    |

  Scenario: An evacuation holds whatever its row's value is
    When the operator writes an evacuation of "a" whose value is no JSON
    Then each host leaves "a" out

  Scenario Outline: Older states of an evacuation do not come back
    When these are taken: <taken>
    Then the domain is <state>

    Examples:
      | taken                                  | state         |
      | begin 5                                | evacuated     |
      | begin 5, begin 5                       | evacuated     |
      | begin 5, end 7                         | not evacuated |
      | begin 5, end 7, begin 5                | not evacuated |
      | begin 5, end 7, begin 9                | evacuated     |
      | end 7, begin 5                         | not evacuated |
      | begin 9, end 7                         | evacuated     |
      | begin 5, unsure end 7, begin 5         | evacuated     |
      | begin 5, begin 9, end 7                | evacuated     |
