Feature: Which requests a stopping host still takes
  Pure decisions, without a network.

  # Guards against taking what must not be cut off on the strength of typical durations.
  Scenario Outline: A request is taken if it can be expected to end in time
    Given requests of size 100 that took <took> s
    When a <kind> of size <size> with 9 s of its own comes <left> s before the last answers
    Then the request is <outcome>

    Examples:
      | took               | kind                      | size | left | outcome |
      | 1, 1, 1, 1, 1      | repeatable request        | 100  | 1.2  | taken   |
      | 1, 1, 1, 1, 1      | request to run once       | 100  | 1.2  | refused |
      | 1, 1, 1, 1, 1      | request to run once       | 100  | 1.3  | taken   |
      | 1, 1, 1, 1, 1, 3   | repeatable request        | 100  | 1.5  | taken   |
      | 1, 1, 1, 1, 1, 3   | stream                    | 100  | 1.5  | refused |
      | 1, 1, 1, 1, 1      | stream                    | 300  | 3.0  | refused |
      | 1, 1, 1, 1, 1      | stream                    | 300  | 3.8  | taken   |
      | 1, 1, 1, 1, 1      | stream                    | 0    | 1.3  | taken   |
      | 1                  | repeatable request        | 100  | 8.0  | refused |
      | 1                  | repeatable request        | 100  | 9.0  | taken   |
      | 1, 1, 1, 1, 1, 3   | stream for no other host  | 100  | 1.0  | taken   |
      | 1                  | stream for no other host  | 100  | 0.1  | taken   |
      | 1                  | stream for no other host  | 100  | 0.0  | refused |

  Scenario Outline: Responses are complete before the process is killed
    When a stop with a grace of <grace> s begins
    Then the last answers are due after <answer> s and the process ends after <end> s

    Examples:
      | grace | answer | end  |
      | 8.0   | 7.2    | 7.7  |
      | 0.5   | 0.4    | 0.45 |
