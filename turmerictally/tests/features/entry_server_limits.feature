Feature: Hosts together keep to the request rate that a server names as its limit
  # Guards against a server in need getting far more requests than the limit it named.
  Scenario Outline: A server gets no more requests than the limit that it names allows
    Given <hosts> hosts and eight servers, of which five name limits of 2.5 to 3.6 a second for 16 s
    When 40 requests a second arrive while <event>
    Then from 3 s after a limit was named its server gets in any 4 s at most one and a half times what it allows plus 5
    And it gets at least half of what it allows hosts that may use their permits
    And together the limited servers get at least half of what they allow
    And 4 s after the limits ended these servers get their part again

    Examples:
      | hosts | event                             |
      | 4     | nothing else happens              |
      | 12    | nothing else happens              |
      | 8     | batch items wait                  |
      | 8     | one host after the other restarts |
      | 8     | the store does not answer         |
      | 8     | half of the hosts are cut off     |

  # Guards against hosts that hang, and callers without an answer, for a very large number.
  Scenario Outline: Hosts serve all callers whatever number they are told
    Given five hosts and six servers
    When 40 requests a second meet hosts that learn that <who> <number> a second
    Then all of them are served
    And every server gets its part of them

    Examples:
      | who                                | number        |
      | a server names a limit of          | 1000000       |
      | a server names a limit of          | 100000000     |
      | a server names a limit of          | 999999999     |
      | the configuration gives cold ones  | 100000000     |
      | the configuration gives cold ones  | 9000000000000 |

  Scenario Outline: A limit that is none is passed over with a line that says so
    Given five hosts and six servers
    When callers ask while a server names "<text>" as its limit
    Then all of them are served
    And each host that heard of it logs once that "<text>" is <reason>

    Examples:
      | text       | reason       |
      | 100000000  | out of reach |
      | 1000000000 | not a rate   |
      | 1e6        | not a rate   |
      | 2 5        | not a rate   |

  # Guards against callers refused by new hosts, which may not use permits for 12 s.
  Scenario: New hosts send to servers whose limits no server reaches
    Given five hosts and six servers
    When callers ask at once after the start while all servers name "100000000"
    Then all of them are served
