Feature: Hosts that lost their paths to servers reach them through other hosts
  # Guards against callers of a host that is cut off from all servers being refused while
  # other hosts reach them (RECOVER).
  Scenario Outline: Callers of hosts without paths are served as well as those of others
    When <hosts> of six hosts lose their paths to all servers for 6 s by <kind>
    Then from 1 s after that first tries at these hosts are served at least 0.95 times as often as at the others
    And no request that must not run twice ran twice
    And 1 s after the paths are back these hosts reach servers directly

    Examples:
      | hosts                | kind                                                  |
      | one                  | resets                                                |
      | one                  | silence                                               |
      | one                  | refusals, while old connections live on               |
      | all hosts of a domain | resets                                               |
      | all hosts of a domain | silence                                              |
      | five                 | resets                                                |

  # Guards against requests that are sent on in circles, or held, if no host reaches servers.
  Scenario: Requests are refused at once while no host reaches any server
    When six of six hosts lose their paths to all servers for 6 s by resets
    Then while that lasts each request is refused as not run within 0.5 s

  # Guards against a response that is cut on the way through a peer and looks complete.
  Scenario Outline: What comes through a peer ends as it ended at the server
    Given a host that reaches servers through a peer only
    When through the peer a server <answers> and the caller asks
    Then through the peer the caller gets <result>

    Examples:
      | answers                                        | result                |
      | sends a plain body without a length            | the whole body        |
      | breaks its connection within each answer       | no complete response  |
      | is never asked, as the caller leaves after 0.2 s | nothing, and the run ends within 0.5 s |

  # Guards against the end of a peer, or of its connection, that passes for the orderly
  # end of the server: partial responses and items that looked complete (MIXED).
  Scenario Outline: What a peer stops carrying does not look complete
    Given a host that reaches servers through a peer <of version>
    When through the peer a server sends <response> without a length and the peer <ends>
    Then through the peer no part of <response> counts as the whole

    Examples:
      | of version      | response     | ends  |
      | of this version | a stream     | stops |
      | of this version | a stream     | dies  |
      | of this version | a plain body | stops |
      | of this version | a plain body | dies  |
      | of this version | an item      | stops |
      | of this version | an item      | dies  |
      | without framing | a stream     | stops |
      | without framing | a stream     | dies  |
      | without framing | an item      | dies  |

  # Guards against hosts of the version before taking a stopping peer for the server.
  Scenario Outline: A host of the version before is carried as before
    When a host of the version before opens a tunnel and <event>
    Then that tunnel <ends>

    Examples:
      | event               | ends                     |
      | the server responds | ends in order after that |
      | the peer stops      | is reset                 |

  # Guards against responses that are cut as the host which carries them stops, although it
  # has time to carry them to their end.
  Scenario Outline: A host that stops carries what has begun to its end
    When a host that stops carries <what>
    Then <outcome>

    Examples:
      | what                         | outcome                                         |
      | a stream of 4 s              | the stream is whole and the host ends after it  |
      | a connection that is idle    | the host ends within 3.2 s                      |
      | a stream that outlasts its grace | the host ends within 9 s                    |

  # Guards against a request that is lost in a tunnel, as it follows closely on its opening.
  Scenario: What follows on the opening of a tunnel at once reaches the server
    When a host opens a tunnel and sends a request with it
    Then the server runs that request
