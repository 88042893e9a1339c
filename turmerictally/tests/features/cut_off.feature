Feature: Configuration during outages and partitions

  Scenario Outline: <fault>
    Given 8 hosts in 4 failure domains, with this fault in luzon-b: <fault>
    Then a change made in another domain is <other_domain> within the acceptance time-out
    And ten seconds later its status is <after_10_s>
    And a change made in luzon-b is <luzon_b>
    And within the staleness limit luzon-b accepts the key
    And after the staleness limit luzon-b responds <stale>
    And after recovery every host serves with the newest version

    Examples:
      | fault                        | other_domain         | after_10_s           | luzon_b              | stale               |
      | none                         | accepted             | accepted             | accepted             | served              |
      | platform slow                | accepted             | accepted             | accepted             | served              |
      | platform down for everyone   | platform_unavailable | platform_unavailable | platform_unavailable | configuration_stale |
      | no platform                  | accepted             | accepted             | platform_unavailable | served              |
      | no other domains             | pending              | accepted             | pending              | served              |
      | no other domains or platform | pending              | pending              | platform_unavailable | configuration_stale |
      | no peers, no platform        | pending              | pending              | platform_unavailable | configuration_stale |
      | inbound from others blocked  | accepted             | accepted             | pending              | served              |

  Scenario: A host that starts while the platform is down
    Then it applies the newest version among its peers and serves
    And without peers it is not ready
