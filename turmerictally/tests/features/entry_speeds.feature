Feature: Hosts learn how fast servers are and tell each other
  Scenario: What one host sees of a slow server the other knows
    When a host is asked by turns and one of three servers is 4 times slower
    Then both hosts expect that server to take 3 to 5 times as long, and the others not
    And the lines of placed requests tell it, with its age and on how much it rests

  Scenario: Nothing is learned unless it is switched on
    When the same happens without learned speeds
    Then no digest tells speeds and no line does

  Scenario Outline: A stream that does not begin goes on elsewhere
    When a host with streams that <may> switch late meets one silent server of four
    Then each of 20 callers has its whole answer, <late> of them with a late first event
    And no request runs on two servers at once

    Examples:
      | may     | late |
      | may     | none |
      | may not | some |

  Scenario: A full fleet takes no second offers
    Given a budget for streams that begin late
    Then of 1000 requests at most 55 are offered again while others have room
    And none is while one server of ten has room

  Scenario Outline: Items leave a server on which they would end too late
    When one of three servers turns 12 times slower while items run and a host <learns> learned speeds
    Then the job is <done> within its 8 s

    Examples:
      | learns | done      |
      | uses   | whole     |
      | lacks  | not whole |
