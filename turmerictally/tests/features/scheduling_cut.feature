Feature: What a host concludes while servers and other hosts are not reached
  Pure decisions, without a network.

  # Answers servers behind a cut link: a connection that did not open took longer than the
  # whole objective.
  Scenario Outline: Connection time-outs follow the connections before
    When earlier connections took <before> s
    Then a connection is given up after <timeout> s

    Examples:
      | before       | timeout |
      | nothing yet  | 0.4     |
      | 0.002, 0.004 | 0.12    |
      | 0.002, 0.015 | 0.3     |
      | 0.9          | 0.4     |

  # Answers jobs whose owner is killed for 2 s, or cut off with its domain: their items,
  # due in 18 s, waited 4 to 6 s for another owner.
  Scenario Outline: The jobs of a lost owner are taken over
    When an owner is <state>, silent for <silent> s with a row of <row> s, seen from <view>
    Then its jobs are taken over: <taken>

    Examples:
      | state                  | silent | row | view            | taken |
      | reachable              | 0.0    | 1.0 | the most hosts  | no    |
      | without the store      | 0.0    | 1.0 | the most hosts  | yes   |
      | unreachable            | 0.6    | 1.0 | the most hosts  | no    |
      | unreachable            | 1.1    | 1.0 | the most hosts  | yes   |
      | unreachable            | 3.0    | 1.0 | a single host   | no    |
      | unreachable            | 5.0    | 4.5 | a single host   | yes   |
      | unreachable, restarted | 0.1    | 0.1 | a single host   | yes   |
