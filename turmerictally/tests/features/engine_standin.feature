Feature: The engine stand-in behaves like a continuously batching engine
  Scenario: Answers are deterministic, streamed with offsets and resumed
    Given an engine stand-in in virtual time
    Then a stream and a plain answer of one prompt agree
    And a cut stream resumes on the engine without repeats or gaps
    And it continues on another engine from its tokens or its KV cache

  Scenario: Batching shows in step times, queues and cache
    Given an engine stand-in in virtual time
    Then steps grow with the batch and the queue is first come first served
    And a repeated prefix costs less and its event comes late
    And load is reported late
    And a cancelled request frees its place

  Scenario: Orders and faults
    Given an engine stand-in in virtual time
    Then an old fencing number is refused only by an engine that checks
    And crossed, duplicated and frozen answers can be brought about
    And a plain service counts executions whose answers failed

  Scenario: The published client works unchanged over sockets
    Given an engine stand-in on loopback
    Then the published client streams and reads whole answers
