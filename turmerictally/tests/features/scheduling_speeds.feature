Feature: Servers, demand and hosts that are uneven
  Hosts tell each other counts 0.08 s late and what they learn of servers each 0.25 s;
  nothing is sent. A request is late when its first event or a pause is.

  Scenario Outline: A sixth of the servers turns too slow for the longest pause
    When <rate> of the usual requests come while a sixth of the servers is too slow for the longest pause
    Then at most <late> in 100 are late
    And with the former policy <worse> times as many would be

    Examples:
      | rate | late | worse |
      | 0.4  | 4    | 2     |
      | 1.0  | 3    | 2     |

  Scenario: A sixth of the servers turns slow for a while
    Given 15 servers of 8 slots that hosts choose by what they learn
    When a sixth of the servers turns 4 times slower for 3 s
    Then they count as slow after 2 s, and as usual 2 s after its end

  Scenario: A disturbance of a moment is no slow server
    Given 15 servers of 8 slots that hosts choose by what they learn
    When 15 in 100 servers at a time work 2.5 times as long for 0.6 s
    Then at most 5 in 100 looks at a server take it for slow

  Scenario: A quarter of the servers at half speed draws no herd to the others
    When requests come by turns while a quarter of the servers runs at half speed
    Then at most 3 in 100 are late
    And no server of the same speed gets 1.3 times its share

  Scenario: All hosts start again and know nothing
    Given 15 servers of 8 slots that hosts choose by what they learn
    When all hosts start again while a quarter of the servers runs at half speed
    Then all servers count as usual, and within 2 s the slow ones are known

  Scenario: A failure domain with 1.3 times the demand
    When requests come by turns and domain a asks for 1.3 times its usual
    Then at most 3 in 100 of domain a are late

  Scenario: A crest in one failure domain only
    When requests come by turns in domain a only
    Then at most 3 in 100 of domain a are late

  Scenario: Items that are nearly due get the fast servers
    When items that are due in 6 to 18 s start on fast and slow servers
    Then at most 0.5 times as many are late as in the order of the slots

  Scenario: Weak hosts beside strong ones
    When 40 items wait at hosts of 0.39 and 2.15 cores while 60 slots are free
    Then the weak host starts 12 and the strong one 40
