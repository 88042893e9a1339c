Feature: Where requests go on the heaviest days
  Counts are known 0.05 s late, as the hosts tell each other; nothing is sent.

  Scenario Outline: Requests wait little when they come by jumps
    Given 10 hosts before 9 servers of 8 slots
    When online requests come at 1.9 and 0.4 times 42 a second by turns with <batch>
    Then at most <late> in 100 wait longer than 0.25 s for a slot
    And with random servers <worse> times as many would wait

    Examples:
      | batch                            | late | worse |
      | no batch items                   | 1    | 3     |
      | batch items in every free slot   | 3    | 3     |

  Scenario: Batch items use what online requests leave
    Given 10 hosts before 9 servers of 8 slots
    When online requests come at 1.9 and 0.4 times 42 a second by turns with batch items in every free slot
    Then batch items hold at least 0.7 of the slots that are free

  Scenario: Items do not start into slots that are free for a moment only
    Given 30 hosts before 14 servers of 8 slots that tell each other each 0.1 s
    When items fill what online requests leave that come by turns
    Then at most 0.25 of the items' runs give way within 0.5 s
    And with every slot taken that is free at the moment, the former policy, more than 0.4 would, of 2 times as many runs
    And batch items hold at least 0.7 of the slots that are free

  Scenario: A third of the servers is lost at the peak
    Given 10 hosts before 9 servers of 8 slots
    When online requests come at 1.9 and 0.4 times 42 a second by turns with a third of the servers lost
    Then what is refused is at most what does not fit, by 0.1 of all requests

  Scenario: Shared prompt parts stay on their server while it has room
    Given 2 hosts before 9 servers of 8 slots
    When one prompt part is asked for by requests that leave room
    Then at least 0.8 of them go to one server

  Scenario: A prompt part that everybody asks for does not crowd one server
    Given 10 hosts before 9 servers of 8 slots
    When one prompt part is asked for by all requests at the peak
    Then at most 3 in 100 wait longer than 0.25 s for a slot
