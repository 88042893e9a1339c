Feature: Order of batch items when demand exceeds the slots
  Scenario: A backlog after an outage does not make all later items miss their deadlines
    After the outage, slots can run 1.1 times as many items as arrive.
    When no slot is free for 20 s of 90 s
    Then at least 0.6 of all items meet their deadline
    And ordered by deadline alone at most half as many would

  Scenario: Many jobs arrive at once
    Six times the normal item rate for 6 s; slots can run 1.3 times the normal rate.
    When items arrive in a burst
    Then at least 0.7 of all items meet their deadline
    And every item completes in the end

  Scenario: With slots for all, items run in the order of their deadlines
    When items with later and earlier deadlines wait together
    Then they run in the order of their deadlines

  Scenario: One team's burst of jobs does not delay the other team's jobs
    Six times the normal item rate for 6 s; five sixths of these items are one team's.
    When one team's items arrive in a burst beside another team's steady rate
    Then at least 0.9 of the other team's items within 20 s meet their deadline
    And without interleaving teams, the former policy, at most 0.8 would
    And every item completes in the end
