Feature: Teams that compete for slots, on the heaviest days
  20 hosts before 12 servers of 8 slots, a request takes 0.72 s and its first event is due
  within 0.3 s; 73 teams, the largest with a quarter of all requests (skew 1.2), each with a
  quota of 1.6 times its usual. Hosts know of each other 0.1 s late. Values: 1 for an answer
  on time, 0.57 for one on time after a refusal, 0.15 for a late one.

  Scenario Outline: Other teams keep their own share's worth
    When 12 s pass with <load>
    Then the other teams' requests are worth at least <worth> and in each second <worst>
    And the former policy gives them at most <former>

    Examples: One hot team; three hot teams at once
      | load                                                    | worth | worst | former |
      | one team asks for 7.5 times its usual in a crest        | 0.75  | 0.65  | 0.4    |
      | three teams ask for 7.5 times their usual in a crest    | 0.75  | 0.65  | 0.4    |

  Scenario Outline: Nobody pays for the skew of 73 teams, nor for waves
    When 14 s pass with <load>
    Then all requests are worth at least <worth> and those of no group less than <group>
    And the former policy gives at most <former> to all

    Examples: A crest that does not fit; crest after trough; a sixth of the servers gone
      | load                                           | worth | group | former |
      | all teams ask for 1.2 times what fits          | 0.55  | 0.5   | 0.45   |
      | crests of 1.12 times what fits follow troughs  | 0.85  | 0.8   | 0.9    |
      | a sixth of the servers goes in such crests     | 0.75  | 0.7   | 0.75   |

  Scenario: A small team's rare request is not behind a large team's queue
    When one team fills the hosts with four times what fits and another asks once a second
    Then at least 0.9 of the rare requests are served, 0.7 of them on time

  Scenario: With free slots nobody is held back
    When one team asks for three quarters of what fits and has a small quota's weight
    Then at most 0.01 of its requests are refused

  Scenario: A team whose requests take four times as long pays for what they take
    When two teams of the same quota ask for as many requests, one for four times as long
    Then at least 0.85 of the short ones are served and 0.3 of the others
    And the long ones hold at most 0.7 of the slots that are used

  Scenario: Callers that return together meet room
    The pattern: nothing is free for a second, all who came meanwhile come back.
    When no server takes a request for 1 s at three quarters of what fits
    Then callers' second tries spread over at least 0.8 s
    And at least 0.95 of all requests are served

  Scenario: Callers that leave free their place at once
    When callers of one team leave after 0.1 s in a crest that does not fit
    Then no request of theirs waits or counts after that
    And the other teams' requests are worth at least 0.6 and in each second 0.4
