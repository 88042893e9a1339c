Feature: Configuration when cut off

  Scenario Outline: <cut>
    Given 8 hosts in 4 domains, of which luzon-b meets: <cut>
    Then a change made elsewhere is <elsewhere> within the acceptance time-out
    And ten seconds later it is <afterwards>
    And a change made in luzon-b is <there>
    And within the staleness limit luzon-b serves keys
    And after the staleness limit luzon-b answers <later>
    And after healing every host serves on the newest version

    Examples:
      | cut                          | elsewhere            | afterwards           | there                | later               |
      | nothing                      | accepted             | accepted             | accepted             | served              |
      | platform slow                | accepted             | accepted             | accepted             | served              |
      | platform down for everyone   | platform_unavailable | platform_unavailable | platform_unavailable | configuration_stale |
      | no platform                  | accepted             | accepted             | platform_unavailable | served              |
      | no other domains             | pending              | accepted             | pending              | served              |
      | neither                      | pending              | pending              | platform_unavailable | configuration_stale |
      | neither, each host alone     | pending              | pending              | platform_unavailable | configuration_stale |
      | nothing comes in from others | accepted             | accepted             | pending              | served              |

  Scenario: A host that starts while the platform is down
    Then it takes the highest version among its peers and serves
    And alone it is not ready
