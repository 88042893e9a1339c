Feature: Queued requests are served fairly, and rejected early if they cannot be met
  Scenario: A team at many times its rate does not hurt the others
    When one team sends ten times its share to a full server
    Then every other team is served as if it were alone
    But in first-come order the others wait behind it

  Scenario: A low weight delays a team and never starves it
    When teams with weights 100 and 1 keep the queue full
    Then served requests follow the weights and each team is served

  Scenario: A request whose deadline cannot be met is refused at once
    When requests with short and long deadlines meet a backlog
    Then the short ones are rejected at once as not run with a retry-after time
    And every queued request got its final outcome by its deadline

  Scenario: A full queue drops the newest request of the team that is furthest ahead
    When a greedy team fills the queue and another team arrives
    Then the new team's request is queued and one of the greedy team is rejected

  Scenario: A caller who leaves the queue releases its slot
    When callers of queued and placed requests disconnect
    Then no entry, count or slot of theirs remains
