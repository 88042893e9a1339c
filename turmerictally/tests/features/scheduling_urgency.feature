Feature: Which batch items and callers go first over all hosts
  Pure decisions, without a network.

  # Answers jobs due in a few seconds beside a crest: hosts used slots in proportion to their
  # waiting items, so that an urgent item on a host with few items waited for others' later ones.
  Scenario: The most urgent items of all hosts take the free slots
    Given 3 free slots, and hosts with items due at 20 | 10, 30, 40 | 15, 25
    Then the hosts start items due at 20 | 10 | 15
    And each takes a slot of its own

  # Answers a crest that fills a server with items of several hosts.
  Scenario Outline: The least urgent items end first, whichever host runs them
    Given a server of 4 slots with <online> online requests, and items due at 20 | 10, 40 | 30
    Then the hosts preempt <preempted> items

    Examples:
      | online | preempted |
      | 0      | 0, 0, 0   |
      | 1      | 0, 1, 0   |
      | 2      | 0, 1, 1   |
      | 4      | 1, 2, 1   |

  # Answers a domain's cut in a crest: callers above their team's share were sent away for up
  # to 1.6 s although a slot was expected within 0.1 s.
  Scenario Outline: A request above its team's share waits while it is expected to start in time
    Given 64 slots of 0.8 s a request, and a large team that demands <demand> of them
    When a request of a rank above its share arrives, to start within 0.225 s
    Then it is <outcome>

    Examples:
      | demand | outcome                         |
      | 66     | queued                          |
      | 76     | queued                          |
      | 90     | refused: above the team's share |
