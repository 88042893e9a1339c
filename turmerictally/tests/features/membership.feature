Feature: Membership of entry hosts

  Scenario: A crashed host is found dead and returns at its address as another
    Given 13 hosts that know each other
    When one host crashes
    Then every other host holds it dead within 8 seconds
    And it returns at its address under a new instance within 10 seconds
    And a late claim about its earlier start changes nothing

  Scenario: A host whose incoming messages are cut in one direction stays a member
    Given 13 hosts that know each other
    When one host no longer gets what its own domain sends
    Then nobody suspects it or holds it dead
    And without indirect pings it is suspected

  Scenario: Loss alone makes no live host dead
    Given 13 hosts that know each other
    When one message in ten is lost for 150 seconds
    Then no live host was held dead
    And without refutation of suspicions some were

  Scenario: A partition heals although the platform's list cannot be read
    Given 13 hosts that know each other
    When one domain is cut off for 40 seconds while the list is down
    Then both sides hold each other dead
    And after it heals everyone knows everyone again

  Scenario: A leaving host gets no new work and is forgotten
    Given 13 hosts that know each other
    When one host leaves
    Then it is not live anywhere within 3 seconds
    And it is forgotten later

  Scenario: The cost of a host does not grow with the fleet
    Then the membership benchmark keeps its bounds at 13 and 40 hosts
    And pinging every member does not keep them

  Scenario: Reading the platform's list stays bounded as the fleet grows
    Then a host reads the list each 5 s among 13 hosts and at most 1,000 B/s among 400
