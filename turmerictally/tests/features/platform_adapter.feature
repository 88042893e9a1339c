Feature: The adapter translates the platform's formats
  Scenario: Transactions, reads and change feeds use the platform's paths and fields
    When rows are changed, read and watched through the adapter
    Then the requests and their bodies are as the platform specifies
    And the responses are decoded into rows, pages and versions

  Scenario Outline: Store errors are classified by whether the write may have been applied
    When the store responds to a transaction with <response>
    Then the call fails as <meaning>

    Examples:
      | response        | meaning                            |
      | status 503      | unavailable and not applied        |
      | status 429      | overloaded and not applied         |
      | status 500      | unavailable and maybe applied      |
      | nothing         | unavailable and maybe applied      |
      | no connection   | unavailable and not applied        |
      | a broken body   | unavailable and maybe applied      |
      | status 412      | a conflict with the current rows   |

  # Guards against hosts that are without the store for good, as it dropped its history and
  # says so by the status alone.
  Scenario Outline: A feed whose history is gone is told from a store that fails
    When the store responds to a feed with 410 and <body>
    Then the call fails as history lost

    Examples:
      | body        |
      | no body     |
      | a JSON body |

  # Guards against a malformed page or key that ends every host which reads a table.
  Scenario: Malformed responses of the store count as those of one that is unavailable
    When the store responds to reads with malformed pages
    Then each call fails as unavailable, and keys of any characters can be read from

  Scenario: Any row is decoded or refused with the one error that its readers expect
    When arbitrary JSON and changed samples are decoded
    Then nothing but a decoding error is raised and every decoded server is valid

  Scenario: Hop-by-hop headers, API keys and headers set by the host are not forwarded
    When requests with arbitrary headers are decoded and forwarded
    Then none of those headers is forwarded, and every other one is, unchanged

  Scenario: Certificate authorities are loaded only for a store behind TLS
    When connections are prepared to "http://store" and to "https://store"
    Then only the second one loads the certificate authorities

  Scenario Outline: A request's size is as its caller states, or unknown
    When a request states "<usage>" tokens and a length hint of "<hint>"
    Then it has <prompt> prompt tokens and <output> expected output tokens

    Examples:
      | usage     | hint | prompt | output |
      | 1460,80   |      | 1460   | 80     |
      | 1460, 80  | 30   | 1460   | 30     |
      | 1460,80   | 900  | 1460   | 80     |
      | 1460      | 30   | 0      | 0      |
      | -1,x      | y    | 0      | 0      |
