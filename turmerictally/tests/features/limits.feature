Feature: A team's rate and burst hold over all hosts together

  Scenario: No schedule of faults admits more than rate x time + burst
    When limits are tried over many schedules of faults
    Then no schedule admitted an excess over a team's limits
    And the limit schedules admitted requests and took slots over

  Scenario Outline: Without <mechanism> the limits checker finds an excess
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
      | returns counted once          |
      | levels handed over at release |

  Scenario Outline: A team within its limits is served in full when its traffic is <traffic>
    When a team sends at 0.8 of its rate with traffic "<traffic>"
    Then the limits refuse at most 1 in 100 of its requests
    And the limits checker finds no excess

    Examples:
      | traffic     |
      | spread      |
      | on one host |
      | moving      |

  Scenario: A whole burst can be used at once on any host
    When a team sends its whole burst at once to one host
    Then every request of the burst is admitted and the next is refused
    And the limits refusal names a time at which a request is admitted

  Scenario: A team at several times its rate costs little and hurts no other team
    When a team sends at 0.8, 5 and 20 times its rate beside a quiet team
    Then a request above the rate costs at most 1.5 times the limits messages
    And the limits messages do not grow from 5 to 20 times the rate
    And the quiet team has no request refused by the limits
    And the limits checker finds no excess
    And the team above its rate is admitted at 0.9 of its rate or more

  Scenario: Slots are spread evenly, handed to joining hosts and freed on a stop
    When hosts join and stop while the limits run
    Then every failure domain's limit slots are spread evenly after each change

  Scenario: A stop frees its limit slots although a renewal has just changed them
    When a host stops while the answer of its slots' renewal is on the way
    Then none of the stopped host's limit slots is still held in the table

  Scenario: Limits outlive a platform outage shorter than the lease
    When the platform is down for half of a limits lease
    Then the limits admit the team's rate during the outage
    And after the limits lease has ended every request is refused as unavailable
    And the limits admit again after the platform heals

  Scenario: Cut-off failure domains spend their own shares alone
    When the limits of two failure domains are cut off from each other
    Then each failure domain admits its own half of the team's rate
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

  Scenario: A dead host's share is lost until its lease ends or an operator frees it
    When a host that holds limit slots dies
    Then the team's admitted rate falls by the dead host's share alone
    And the share is back within seconds after an operator declares the host dead

  Scenario: Hosts with another layout of slots hold none
    When a host joins with another number of limit slots
    Then that host holds no limit slot and reports a conflict

  Scenario: The limits benchmark holds its bounds
    When the limits benchmark runs calm and with all faults
    Then every check of the limits benchmark holds
    And the even split refuses more requests inside the rate than the leases
