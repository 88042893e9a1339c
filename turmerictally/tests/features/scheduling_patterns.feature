Feature: What callers get under load patterns, with and without a mechanism
  The hosts' own decisions in virtual time, without a network: 12 hosts before 9 servers of
  8 slots, online requests in crests of 1.85 and troughs of 0.38 of their mean rate, and
  batch jobs that are due in 18 s.

  Scenario: The same seed gives the same figures
    When the pattern "waves" is played twice for 8 s
    Then both plays have the same figures

  Scenario Outline: A wrong name is one error that lists the right ones
    When patterns are compared with <option> "<name>"
    Then the error names "<name>" and lists "<listed>"

    Examples:
      | option  | name   | listed      |
      | pattern | tides  | domain-cut  |
      | variant | no-one | fair_shares |

  # Answers batch jobs that are due while servers are missing: each host used slots in
  # proportion to its waiting items, whatever their deadlines.
  Scenario: Free slots go to the most urgent items of all hosts
    When the pattern "slots-lost" is played with half of all slots' time asked by batch
    Then at least 0.98 of the results are in time
    And without "item_deadline_order" fewer are

  # Answers a failure domain that is cut off: connections that did not open used up the
  # objective, and requests of unreachable hosts counted against the servers.
  Scenario: A domain that is cut off costs little beyond its servers
    When the pattern "domain-cut" is played
    Then at least 0.7 of the requests after the cut are on time

  # Answers a crest above what the slots can take: callers were sent away although a slot
  # became free in time.
  Scenario: Few callers are refused who would have found a slot in time
    When the pattern "burst-on-crest" is played at 0.52 of the slots' time
    Then slots were free in time after at most 0.05 of the refusals
