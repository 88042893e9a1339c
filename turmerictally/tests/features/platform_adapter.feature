Feature: The adapter decodes the users' platform once and decides nothing
  Scenario: Transactions, reads and feeds are spelled as the platform spells them
    When rows are changed, read and followed through the adapter
    Then the calls and their bodies are those of the platform's page
    And the answers come back as rows, pages and versions

  Scenario Outline: What the store answers is classified by what it promises
    When the store answers a transaction with <answer>
    Then the caller learns <meaning>

    Examples:
      | answer          | meaning                            |
      | status 503      | unavailable and surely not applied |
      | status 429      | overloaded and surely not applied  |
      | status 500      | unavailable and maybe applied      |
      | nothing         | unavailable and maybe applied      |
      | no connection   | unavailable and surely not applied |
      | a broken body   | unavailable and maybe applied      |
      | status 412      | a conflict with the rows as found  |

  Scenario: Any row decodes to a configuration or a server, or to nothing
    When arbitrary JSON and changed samples are decoded
    Then nothing is raised and every server found is usable

  Scenario: Headers that name one connection, a key or the host's own are not passed on
    When requests with arbitrary headers are decoded and sent onward
    Then none of those headers is passed on, and every other one is, unchanged

  Scenario: Authorities are loaded only for a store behind TLS
    When connections are prepared to "http://store" and to "https://store"
    Then only the second one loads the authorities

  Scenario Outline: A request's size is what its caller says, or unknown
    When a request says "<usage>" tokens and hints at "<hint>"
    Then it has <prompt> prompt tokens and <output> expected output tokens

    Examples:
      | usage     | hint | prompt | output |
      | 1460,80   |      | 1460   | 80     |
      | 1460, 80  | 30   | 1460   | 30     |
      | 1460,80   | 900  | 1460   | 80     |
      | 1460      | 30   | 0      | 0      |
      | -1,x      | y    | 0      | 0      |
