Feature: Queued requests are served fairly, and refused early when they cannot be met
  Scenario: A team at many times its rate does not hurt the others
    When one team sends ten times its share to a full server
    Then every other team is served as if it were alone
    But in order of arrival the others wait behind it

  Scenario: A low weight delays a team and never starves it
    When teams with weights 100 and 1 keep the queue full
    Then served requests follow the weights and each team is served

  Scenario: A request whose deadline cannot be met is refused at once
    When requests with short and long deadlines meet a backlog
    Then the short ones are refused at once as not run with a time to come back
    And every waiting request got its final answer by its deadline

  Scenario: A full queue drops the newest request of the team that is furthest ahead
    When a greedy team fills the queue and another team arrives
    Then the newcomer is queued and a request of the greedy team is refused

  Scenario: A caller who leaves the queue gives its place back
    When waiting and placed callers leave
    Then nothing of them is left
