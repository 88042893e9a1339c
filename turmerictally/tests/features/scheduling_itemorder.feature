Feature: Batch items under more load than there are slots
  Scenario: A backlog after an outage does not make all later items late
    The pattern: no item runs for a while, then slots take 1.1 times what comes.
    When no slot is free for 20 s of 90 s
    Then at least 0.6 of all items are done in time
    And by due time alone at most half as many would be

  Scenario: Many jobs come at once
    The pattern: six times the usual items for 6 s, before slots that take 1.3 times.
    When items come by a jump
    Then at least 0.7 of all items are done in time
    And every item is done in the end

  Scenario: With room for all, items run in the order in which they are due
    When items of later and earlier due times wait together
    Then they run by due time

  Scenario: One team's burst of jobs leaves the others' in time
    The pattern: six times the usual items for 6 s, five sixths of them one team's.
    When one team's items come by a jump and another's go on
    Then of the other's in 20 s from then at least 0.9 are done in time
    And without turns, the former policy, at most 0.8 would be
    And every item is done in the end
