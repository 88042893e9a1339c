Feature: Online requests are balanced over servers and preempt batch requests
  Scenario: A leaving server gets no new requests after 5 s, however it leaves
    When a server leaves by the list, its report, refused connections or replacement
    Then no new request reached it more than 5 s later
    And its running stream completed
    But without polling the check finds new requests

  Scenario: State of a restarted server's previous instance is dropped
    When a server is restarted at its address as a new instance
    Then it gets requests only after the list confirms the instance
    And nothing learned about the previous instance is kept

  Scenario: Subsets cover every server and polls are rate-limited
    When 50 hosts select subsets of 26 and of 837 servers
    Then every server is covered by a similar number of hosts
    And a host's polls per second do not grow with the fleet

  Scenario: The cost of a choice does not grow with the fleet
    When a router chooses among 10 and among 6700 servers
    Then it considers no more servers than its subset holds

  Scenario: Missed cache events invalidate old entries of the prefix index
    When servers store and evict prefixes and some events are lost
    Then the prefix index stays bounded and drops old entries at a gap

  Scenario: An open circuit lets one probe request through at a time
    When a server refuses connections and accepts them again
    Then it is probed and then gets requests again

  Scenario: Each server has one batch owner in its failure domain
    When hosts join and crash
    Then each server has exactly one owner and few owners change

  Scenario: Online requests of any host preempt batch requests at once
    When batch fills a server and another host sends online requests
    Then batch requests in flight fall at once to the slots left by online requests
    And batch requests fill the idle capacity again within a second
    But without preemption online requests wait behind batch requests

  Scenario: A preempted batch item resumes where it stopped
    When a batch item is preempted after some tokens and resumed on another server
    Then its response equals that of an undisturbed run, with no token generated twice
    And the same holds when the other server cannot import the KV cache
    But an item that has just begun is cancelled without an export
