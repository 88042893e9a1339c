Feature: What a host computes for its permits hardly depends on numbers from outside
  # Guards against hosts that hang while they count the permits of a very large number.
  Scenario Outline: Permits are counted in about the same steps, however many there are
    Given a host that sees <hosts> hosts
    When a server <names> 100 a second, and another one <number>
    Then the second takes the host at most 4 times the steps of the first
    And the host may send to it

    Examples:
      | hosts | names             | number        |
      | 5     | names a limit of  | 1000000       |
      | 5     | names a limit of  | 100000000     |
      | 61    | names a limit of  | 999999999     |
      | 400   | names a limit of  | 999999999     |
      | 61    | names a limit of  | 9000000000000 |
      | 5     | is cold and takes | 1000000       |
      | 5     | is cold and takes | 100000000     |
      | 61    | is cold and takes | 9000000000000 |

  # Guards against hosts that go through all recent requests for each server and request.
  Scenario: Whether a server may get a request is decided in as many steps at any load
    Given a host that sees 5 hosts
    When a server names a limit of 10000 a second, and the host sends it 10 requests, then 4000
    Then deciding on one more takes at most 4 times the steps after 4000 than after 10

  # Guards against hosts that count all permits of all servers anew whenever a host restarts.
  Scenario: A host that comes or goes costs the others little
    Given a host that sees 400 hosts
    When it learns its permits of 10 servers that name 200 a second
    And 20 of the other hosts are replaced one by one, and each time it learns them again
    Then that takes on average at most half of the steps
