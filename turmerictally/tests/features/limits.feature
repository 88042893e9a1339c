Feature: A team's rate and burst limits are enforced across all hosts

  Scenario: No schedule of faults admits more than rate x time + burst
    When the limits run through many generated schedules of faults
    Then no schedule admitted more than a team's limits
    And the schedules admitted requests and caused slot takeovers

  Scenario Outline: Without <mechanism> the limits are exceeded
    When the limits schedule for "<mechanism>" runs as built
    Then that limits schedule shows no excess
    When the limits schedule for "<mechanism>" runs without it
    Then that limits schedule shows an excess

    Examples:
      | mechanism                     |
      | the expiry of grants          |
      | an empty start after takeover |
      | the wait before takeover      |
      | the deduction before a grant  |
      | the holder's lease check      |
      | idempotent refunds            |
      | bucket levels kept at release |

  Scenario Outline: A team within its limits is admitted in full when its traffic is <traffic>
    When a team sends at 0.8 of its rate with traffic "<traffic>"
    Then the limits refuse at most 1 in 100 of its requests
    And the limits checker finds no excess

    Examples:
      | traffic     |
      | spread      |
      | on one host |
      | moving      |

  Scenario: Any host admits a complete burst at once
    When a team sends its complete burst at once to one host
    Then every request of the burst is admitted and the next is refused
    And the refusal gives a retry time after which a request is admitted

  Scenario: A team far over its rate causes few messages and affects no other team
    When a team sends at 0.8, 5 and 20 times its rate while another sends little
    Then a request over the rate causes at most 1.5 times as many limits messages
    And the limits messages do not grow from 5 to 20 times the rate
    And the limits refuse none of the other team's requests
    And the limits checker finds no excess
    And the team over its rate is admitted at 0.9 of its rate or more

  Scenario: Slots are balanced over hosts as hosts join and stop
    When hosts join and stop while the limits run
    Then every failure domain's limit slots are evenly distributed after each change

  Scenario: A stopping host releases its slots despite a renewal in flight
    When a host stops while the response to its slots' renewal is in flight
    Then the table shows no limit slot held by the stopped host

  Scenario: The limits survive a platform outage until the lease expires
    When the platform goes down for more than a limits lease
    Then the limits admit the team's rate during the outage
    And after the limits lease has expired every request is refused as unavailable
    And the limits admit the team's rate again after the platform recovers

  Scenario: Partitioned failure domains admit their own quota shares
    When two failure domains are partitioned from each other
    Then each failure domain admits half of the team's rate
    And the limits checker finds no excess

  Scenario Outline: Limits with <case> for longer than a lease
    When the limits run with <case> for longer than a lease
    Then the limits admit <first> of the rate at first and <later> after the lease

    Examples:
      | case                                 | first | later |
      | a slow platform                      | 1.0   | 1.0   |
      | a domain cut off from the platform   | 1.0   | 0.75  |
      | a domain cut off from the others     | 0.25  | 0.25  |
      | a domain cut off from both           | 0.25  | 0.0   |
      | a host alone                         | own   | 0.0   |

  Scenario: A crashed host's share is lost until its lease ends or an operator frees it
    When a host that holds limit slots crashes
    Then the team's admitted rate falls only by the crashed host's share
    And the share is available within seconds after an operator declares the host dead

  Scenario: A host with a different slot layout holds no slots
    When a host joins with a different number of limit slots
    Then that host holds no limit slot and reports a conflict

  Scenario: The limits benchmark stays within its bounds
    When the limits benchmark runs without faults and with all faults
    Then every check of the limits benchmark passes
    And the even split refuses more requests within the rate than the leases
