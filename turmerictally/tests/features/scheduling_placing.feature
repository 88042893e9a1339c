Feature: Choice of servers under the heaviest load
  Hosts know each other's counts 0.05 s late. Simulated without a network.

  Scenario Outline: Requests wait little when load comes in bursts
    Given 10 hosts before 9 servers of 8 slots
    When online requests alternate between 1.9 and 0.4 times 42 a second with <batch>
    Then at most <late> in 100 wait longer than 0.25 s for a slot
    And with random servers <worse> times as many would

    Examples:
      | batch                            | late | worse |
      | no batch items                   | 1    | 3     |
      | batch items in every free slot   | 3    | 3     |

  Scenario: Batch items use the slots that online requests leave free
    Given 10 hosts before 9 servers of 8 slots
    When online requests alternate between 1.9 and 0.4 times 42 a second with batch items in every free slot
    Then batch items hold at least 0.7 of the slots that are free

  Scenario: Items do not start in slots that are free only briefly
    Given 30 hosts before 14 servers of 8 slots with a digest every 0.1 s
    When items fill the slots that alternating online requests leave free
    Then at most 0.25 of the items' runs are preempted within 0.5 s
    And if items used every momentarily free slot, the former policy, more than 0.4 would, of 2 times as many runs
    And batch items hold at least 0.7 of the slots that are free

  Scenario: A third of the servers is lost at the peak
    Given 10 hosts before 9 servers of 8 slots
    When online requests alternate between 1.9 and 0.4 times 42 a second with a third of the servers lost
    Then refusals exceed the demand beyond capacity by at most 0.1 of all requests

  Scenario: Shared prompt parts stay on their server while it has free slots
    Given 2 hosts before 9 servers of 8 slots
    When requests at a low rate share one prompt part
    Then at least 0.8 of them go to one server

  Scenario: A prompt part shared by all requests does not overload one server
    Given 10 hosts before 9 servers of 8 slots
    When all requests at the peak share one prompt part
    Then at most 3 in 100 wait longer than 0.25 s for a slot
