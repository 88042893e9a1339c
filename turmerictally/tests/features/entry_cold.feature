Feature: Entry hosts together limit the request rate of cold servers
  # Guards against overload of servers that come back cold.
  Scenario Outline: Requests, retries and items together stay within a cold server's rate
    Given four hosts and three servers that take 3 requests a second while cold
    When one reports that it is cold for 3 s while <load>
    Then until then it gets at least one request and in any second at most 3 plus 5
    And it gets more than that in a second afterwards

    Examples:
      | load                              |
      | callers send 40 requests a second |
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
      | registers for the first time, at rate 10000    | cold     |
      | registers for the first time, at rate 10001    | not cold |
      | registers for the first time, at rate 9e12     | not cold |
      | said 2 s ago that it is cold for 2 s           | not cold |
      | says that it is cold for 2 s, then for 0 s     | cold     |

  Scenario Outline: An invalid warm-up time doesn't disable a server
    When a server registers with a warm-up time of <time>
    Then it is <state>, and <line> is logged

    Examples:
      | time   | state                 | line                 |
      | -5     | used as before        | cold_time_unreadable |
      | "soon" | used as before        | cold_time_unreadable |
      | true   | used as before        | cold_time_unreadable |
      | null   | used as before        | cold_time_unreadable |
      | NaN    | used as before        | cold_time_unreadable |
      | 1e400  | used as before        | cold_time_unreadable |
      | 1e30   | cold for 60 s at most | server_cold          |

  Scenario Outline: An invalid rate in the configuration means no limit
    When the configuration's rate of cold servers is <rate>
    Then the configuration is applied without a limit for cold servers

    Examples:
      | rate   |
      | -1     |
      | "many" |
      | 1e400  |
      | null   |
