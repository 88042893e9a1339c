Feature: Membership of entry hosts

  Scenario: A crashed host is declared dead and rejoins at its address as a new instance
    Given 13 hosts that are members of one fleet
    When one host crashes
    Then every other host declares it dead within 8 seconds
    And it rejoins at its address as a new instance within 10 seconds
    And a late claim about its earlier instance changes nothing

  Scenario: A host that receives nothing from its failure domain stays a live member
    Given 13 hosts that are members of one fleet
    When one host receives nothing from its own failure domain
    Then no host suspects it or declares it dead
    And without indirect pings it is suspected

  Scenario: Message loss alone has no live host declared dead
    Given 13 hosts that are members of one fleet
    When one message in ten is lost for 150 seconds
    Then no live host was declared dead
    And without refutation some are

  Scenario: A partition heals while the platform's host list is unavailable
    Given 13 hosts that are members of one fleet
    When one failure domain is cut off for 40 seconds while the host list is unavailable
    Then both sides declare each other dead
    And after it heals every host sees all others live

  Scenario: A leaving host gets no new work and is removed from the members
    Given 13 hosts that are members of one fleet
    When one host leaves
    Then no host sees it as live after 3 seconds
    And it is removed from the members within 90 seconds

  Scenario: Membership cost per host does not grow with the fleet
    Then the membership benchmark is within its bounds at 13 and 40 hosts
    And pinging every member in each round exceeds them

  Scenario: The rate of reading the platform's host list stays bounded as the fleet grows
    Then a host reads the list every 5 s among 13 hosts and at most 1,000 B/s among 400
