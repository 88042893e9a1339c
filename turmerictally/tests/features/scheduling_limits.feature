Feature: Permits divide the rate that a server names among hosts, without messages
  # Guards against hosts that together exceed a server's limit as each of them keeps its part.
  Scenario Outline: However eagerly hosts send, a server gets what its limit allows
    Given <hosts> hosts whose tables list each other
    When each sends to a server that names <rate> a second whenever it may, for 30 s
    Then in any 4 s the server gets at most one and a half times what the limit allows plus 5
    And over the 30 s it gets at least nine tenths of the limit

    Examples:
      | hosts | rate |
      | 1     | 2.5  |
      | 10    | 0.4  |
      | 10    | 2.5  |
      | 10    | 4.1  |
      | 78    | 2.1  |
      | 78    | 12.3 |

  Scenario Outline: Which of two responses tells a server's limit
    When a host learns that a server <before>, and then that it <after>
    Then the server's limit is <limit>

    Examples:
      | before                      | after                        | limit |
      | names 3                     | names 2                      | 2     |
      | names 3                     | names none                   | none  |
      | names 3                     | named 2 a second earlier     | 3     |
      | names 3                     | named none a second earlier  | 3     |
      | names 3                     | started again and names none | none  |
      | named 3 before it restarted | named 2 before that          | 3     |
      | names 3                     | has not responded for 20 s   | none  |
      | names 0.1                   | has not responded for 20 s   | 0.1   |
      | names 0.0001                | has not responded for 50 s   | none  |
      | names 3                     | names 100000000              | none  |
      | names 100000000             | names 3                      | 3     |
      | names 3                     | named 1e13 a second earlier  | 3     |
      | names none                  | named 1e13 a second earlier  | none  |

  # Guards against a server that gets nothing for minutes, as nobody hears that it may.
  Scenario Outline: A server that named a very low limit is soon heard to name none
    Given 5 hosts whose tables list each other
    When each sends to a server that names <rate> a second for 2 s whenever it may
    Then 20 s after that no host believes in a limit
    And in any 4 s of that the server gets at most one and a half times what the limit allows plus 5

    Examples:
      | rate   |
      | 0.2    |
      | 0.01   |
      | 0.0001 |

  # Guards against hosts of versions before, which hang on such a number in a digest.
  Scenario: Other hosts are not told of a limit that no server reaches
    When a host learns that a server names 3, and then that it names 100000000
    Then it tells other hosts that the server names none

  # Guards against hosts that exit when batch items meet a server that just named a limit.
  Scenario: A server that nothing was sent to since it named a limit has idle permits
    Given 1 hosts whose tables list each other
    Then the permits of a server that just named 2 a second are idle

  Scenario Outline: Who may use the permits of a limited server
    When a host wants to send to a limited server and <what>
    Then the host <may> send there

    Examples:
      | what                                      | may     |
      | its row has been listed for 13 s          | may     |
      | its row has been listed for 11 s          | may not |
      | the store has not answered for 40 s       | may     |
      | its row has not been renewed for 61 s     | may not |
      | its row is no longer listed               | may not |
