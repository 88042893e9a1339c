Feature: Hosts find the request that crashes servers, and only that one
  # Guards against sound requests refused beside one that crashes servers, for themselves
  # or for parts of the prompt they share, and against a part that hides in many requests.
  Scenario Outline: What explains the crashes is quarantined, and nothing else
    Given three hosts that exchange evidence on requests and on parts each second
    When <crashes>
    Then every host refuses just <refused>

    Examples:
      | crashes                                                               | refused   |
      | two servers crash as they begin x, which holds aa,bb                  | x         |
      | two servers crash as they begin x, of which one answers later         | nothing   |
      | one server crashes as it begins x, which holds aa,bb                  | nothing   |
      | two servers crash as they begin x, while y writes events there        | x         |
      | three servers crash while x writes events there                       | x         |
      | four servers at one moment crash as they begin x, which holds aa,bb   | nothing   |
      | four servers 40 ms apart crash as they begin x, which holds aa,bb     | x         |
      | two servers crash as they begin x, which another host has just served | nothing   |
      | two servers crash as they begin x, two more as they begin y, with aa  | x,y,aa    |
      | three servers crash as they begin x, y and z, with aa                 | aa        |

  # Guards against trials that crash servers one after the other (BUDGET).
  Scenario: Trials of a request that still crashes servers are few over all hosts
    Given three hosts that exchange evidence on requests and on parts each second
    When a request that crashes servers arrives at every host for 1700 s
    Then later than 3 s after the third crash at most 3 more servers crash
    And each trial is made by one host, though one host gets no such request

  # Guards against a quarantine without end, and one that comes back from a host that
  # has not heard of its end.
  Scenario: A request that is served again stays out of quarantine
    Given three hosts that exchange evidence on requests and on parts each second
    When a trial is served while one host is cut off
    Then the others clear the request at once, the last one after the cut, and for good

  Scenario: An operator's lists of requests go before the evidence
    Given three hosts that exchange evidence on requests and on parts each second
    When two servers crash as they begin x, and the operator exempts it and lists y
    Then each host sends x on, and refuses y
