Feature: Entry hosts send cold servers what they bear together
  # Guards against FAILBACK.
  Scenario Outline: Requests, retries and items together stay within a cold server's rate
    Given four hosts and three servers that bear 3 requests a second while cold
    When one says that it is cold for 3 s while <load>
    Then it gets at most 3 and 5 more in any second until then, and at least one
    And it gets more than that in a second afterwards

    Examples:
      | load                              |
      | callers ask 40 times a second     |
      | another server breaks its streams |
      | batch items wait                  |

  Scenario Outline: What makes a server cold
    When this happens to a server: it <event>
    Then it is <state> at the hosts

    Examples:
      | event                                          | state    |
      | registers for the first time                   | cold     |
      | registers for the first time, history is lost  | cold     |
      | starts again under its name                    | cold     |
      | says that it is cold for 2 s                   | cold     |
      | is back from an evacuation                     | cold     |
      | is back from an outage                         | not cold |
      | was there when the hosts started               | not cold |
      | registers for the first time, without a rate   | not cold |
      | said 2 s ago that it is cold for 2 s           | not cold |
      | says that it is cold for 2 s, then for 0 s     | cold     |

  Scenario Outline: An odd time until a server is warm loses no server
    When a server's registration says <time> for the time until it is warm
    Then it is <state>, and <line> is told

    Examples:
      | time   | state                 | line                 |
      | -5     | used as before        | cold_time_unreadable |
      | "soon" | used as before        | cold_time_unreadable |
      | true   | used as before        | cold_time_unreadable |
      | null   | used as before        | cold_time_unreadable |
      | NaN    | used as before        | cold_time_unreadable |
      | 1e400  | used as before        | cold_time_unreadable |
      | 1e30   | cold for 60 s at most | server_cold          |

  Scenario Outline: An odd rate in the configuration is no rate
    When the configuration says <rate> for the rate of cold servers
    Then the configuration holds and no rate binds

    Examples:
      | rate   |
      | -1     |
      | "many" |
      | 1e400  |
      | null   |
