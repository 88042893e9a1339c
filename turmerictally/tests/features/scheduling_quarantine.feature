Feature: Hosts find the prompt part that crashes servers, and only that one
  # Guards against callers refused for a part that their prompts share with crashing ones.
  Scenario Outline: Only the part that crashes servers is quarantined
    Given four hosts that exchange evidence each second
    When <crashes>
    Then every host has quarantined <parts>

    Examples:
      | crashes                                                                  | parts  |
      | two servers crash 0.2 s apart under prompts of aa,bad                    | bad    |
      | two servers crash 0.2 s apart under prompts of aa,bad on different hosts | bad    |
      | two servers crash 0.2 s apart under prompts of bad,aa, and aa was served | bad    |
      | one server crashes under a prompt of aa,bad                              | none   |
      | six servers crash at one moment under prompts of aa,rare                 | none   |
      | servers crash under prompts of aa while others serve it                  | none   |
      | two servers crash under prompts of aa,bad and one also of cc,rare        | bad    |
      | servers crash under prompts of aa,bad in quick succession                | bad    |

  # Guards against a quarantine that comes back from a host that has not heard of its end.
  Scenario: A part that is served again stays out of quarantine
    Given four hosts that exchange evidence each second
    And a part that every host has quarantined
    When one host is cut off from the others, and another one serves a trial
    Then the three hosts clear the part at once, and the fourth after the cut
    And no host quarantines it again

  # Guards against trials that crash servers one after the other.
  Scenario: Trials of a part that still crashes servers are few over all hosts
    Given four hosts that exchange evidence each second
    When requests with a crashing part arrive at every host for 600 s
    Then at most 5 servers crash
    And each trial is made by one host

  # Guards against a quarantine without end when the host that ranks first has no request
  # to try, which held back accepted batch items.
  Scenario Outline: Whichever host has a request with the part makes the trial soon
    Given <hosts> hosts that exchange evidence each second
    And a part that every host has quarantined
    When the trial is due and only the host that ranks last has requests with the part
    Then it makes the trial within <seconds> s
    And no two hosts make trials within 5 s of each other

    Examples:
      | hosts | seconds |
      | 4     | 4       |
      | 10    | 5       |
      | 400   | 10      |

  # Guards against trials by all hosts at once after one that had no outcome.
  Scenario: A trial without an outcome is made again by one host at a time
    Given 10 hosts that exchange evidence each second
    And a part that every host has quarantined
    When a trial has no outcome and every host has requests with the part 5.2 s later
    Then at most 2 hosts may make the next one

  # Guards against digests that no host can read, as a report's form had changed.
  Scenario: Digests with evidence are read as they were written
    When a host has evidence against prompt parts, items' parts and a request, and a refuted crash
    Then its digest is decoded with all of that

  # Guards against real crashes that are refuted by old answers.
  Scenario Outline: An answer refutes the crashes before it only, on all hosts
    Given four hosts that exchange evidence each second
    When a crash was refuted and <what happens then>
    Then every host has quarantined <parts>

    Examples:
      | what happens then                                                          | parts |
      | 10 s later the same servers crash, with digests 0.2 s late                 | bad   |
      | the server starts again under its name 1 s later, as two hosts know sooner | bad   |
      | nothing else                                                               | none  |

  Scenario: An operator's lists go before the evidence
    Given four hosts that exchange evidence each second
    And a part that every host has quarantined
    When the operator exempts that part and lists another one
    Then requests with the first one are sent, and those with the other one are not
