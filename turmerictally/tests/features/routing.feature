Feature: Requests go where they are served best, and batch work gives way
  Scenario: A leaving server gets nothing new within 5 s, however it is learned
    When a server leaves by the list, by its report, by refusing and by being replaced
    Then nothing new reached it more than 5 s later
    And its running stream ended whole
    But without polling the check finds new work

  Scenario: A server that comes back as another instance starts afresh
    When a server is replaced at its address
    Then it gets nothing before the list confirms it, and work afterwards
    And nothing learned of the former instance is kept

  Scenario: Every server is in some host's subset and polls are bounded
    When 50 hosts pick subsets of 26 and of 837 servers
    Then every server is covered and the load each could get is even
    And a host's polls a second do not grow with the fleet

  Scenario: Work for one choice does not grow with the fleet
    When a router chooses among 10 and among 6700 servers
    Then it looks at no more servers than its subset holds

  Scenario: Cache events that are late and with gaps never name a lost holder for long
    When servers store and evict prefixes and events are lost
    Then the beliefs stay bounded and old ones are dropped at a gap

  Scenario: A server that fails is tried by one request at a time
    When a server refuses connections and comes back
    Then it is probed and then used again

  Scenario: A server has one batch owner in its failure domain
    When hosts join and die
    Then each server has exactly one owner and few owners change

  Scenario: Batch yields at once to online requests of every host
    When batch fills a server and online requests come through another host
    Then batch in flight falls below the room that online leaves at once
    And batch fills the idle capacity again within a second
    But without yielding online requests wait behind batch

  Scenario: A yielded batch item goes on from where it stopped
    When a batch item yields after some tokens and runs again on another server
    Then its answer is the one it would have had, with no token generated twice
    And it is so too when the other server cannot import the KV cache
    But an item that had just begun is cancelled without an export
