Feature: Hosts learn how fast servers are and tell each other
  Scenario: What one host sees of a slow server the other knows
    When a host is asked by turns and one of three servers is 4 times slower
    Then both hosts expect that server to take 3 to 5 times as long, and the others not
    And the lines of placed requests tell it, with its age and on how much it rests

  Scenario: Nothing is learned unless it is switched on
    When the same happens without learned speeds
    Then no digest tells speeds and no line does
