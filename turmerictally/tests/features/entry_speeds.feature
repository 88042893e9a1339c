Feature: Hosts estimate the speed of servers and share the estimates
  Scenario: A slow server that one host observed is known to the other
    When one host gets requests and one of three servers is 4 times slower
    Then both hosts expect it to take 3 to 5 times as long and the others the typical time
    And the log of placed requests has its slowness, the age and the number of hosts

  Scenario: Speeds are not estimated unless the setting is on
    When the same happens without learned speeds
    Then neither digests nor log lines have speeds

  Scenario Outline: A stream without a first event fails over to another server
    When a host with streams that <may> switch late uses four servers of which one is silent
    Then 20 callers get complete responses, <late> of them with a late first event
    And no request runs on two servers at once

    Examples:
      | may     | late                   |
      | may     | none within the budget |
      | may not | some                   |

  Scenario: There is no failover while the fleet is full
    Given a failover budget
    Then of 1000 requests at most 55 fail over while others have free slots
    And none does while only one server of ten has free slots

  Scenario Outline: Batch items move away from a server on which they would miss their deadline
    When one of three servers becomes 12 times slower while items run and a host <learns> learned speeds
    Then the job is <done> within its 8 s

    Examples:
      | learns | done      |
      | uses   | whole     |
      | lacks  | not whole |
