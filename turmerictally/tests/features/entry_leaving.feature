Feature: An entry host stops using a leaving server, also after store outages
  # Guards against removals that a host takes for lapses after its own store outage.
  Scenario Outline: After a host's own store outage, a leaving server gets no requests 2 s later
    When <count> of four hosts are <trouble> by the store for <for_s> s, and a server <leaves> <after_s> s after that
    Then no request reaches it 2 s after that from hosts whose outage ended 3 s before

    Examples:
      | count | trouble  | for_s | leaves     | after_s |
      | 2     | refused  | 2.0   | is removed | 1.5     |
      | 2     | refused  | 2.0   | is removed | 0.2     |
      | 2     | refused  | 0.1   | is removed | 1.5     |
      | 2     | silenced | 2.0   | is removed | 1.5     |
      | 2     | silenced | 2.0   | is removed | 0.2     |
      | 2     | silenced | 5.0   | is removed | -1.0    |
      | 2     | silenced | 5.0   | drains     | -1.5    |
      | 2     | cut off  | 0.1   | is removed | 1.0     |
      | 4     | refused  | 2.0   | is removed | 1.5     |
      | 4     | silenced | 3.0   | is removed | -0.5    |
      | 4     | cut off  | 0.1   | is removed | 0.5     |

  # Guards against a lapse that is timed from when the registration was seen missing.
  Scenario: The lapse of a missing registration is timed from the end of the outage
    When a registration goes missing 1.5 s after the store's return
    Then its server is used 2.1 s after the return and not 2.3 s after it

  # Guards against a host without the store that uses a server which others saw removed.
  Scenario: A host that the store refuses learns of a removal from its peers
    When a server is removed while the store refuses 2 of four hosts for 8 s
    Then no request reaches it 2 s after that from any host

  # Guards against a lapse that hosts report to each other as a removal.
  Scenario: Hosts with a longer outage keep registrations that lapsed in it
    When registrations lapse in an outage of 4 s that lasts 1 s longer for two of four hosts
    Then every request is served until the servers are registered again

  # Guards against requests to a server whose registration was overwritten in an outage.
  Scenario: A registration that becomes unreadable is removed at once
    When a registration is overwritten by another writer just after the store's return
    Then its server is not used

  # Guards against a paused host that saw no failed call and takes a lapse for a removal.
  Scenario Outline: A host that was paused during an outage keeps registrations that lapsed in it
    When a registration lapses in an outage through which the host was <paused>
    Then its server is used 2.1 s after the return and not 2.3 s after it

    Examples:
      | paused                              |
      | stopped while its clock went on     |
      | suspended and its clock stood still |

  # Guards against requests to a server that announced its shutdown but is still registered.
  Scenario Outline: A server that announces its shutdown gets no new requests from any host
    When a server says in <what> to one of four hosts that it leaves, while <store>
    Then no new request reaches it 2 s after that from any host
    And other servers serve every request sent after that

    Examples:
      | what             | store                  |
      | a stream         | the store serves all   |
      | a failure        | the store serves all   |
      | an item's stream | the store serves all   |
      | a stream         | the store is away      |

  Scenario: A host that starts during a store outage learns of leaving servers from its peers
    When a host starts after a server's answers said that it leaves, while the store is away
    Then no new request reaches that server from the started host

  Scenario Outline: A shutdown announcement holds for that incarnation only
    When a leaving server is registered again <how>
    Then the server is <used>

    Examples:
      | how                                  | used     |
      | as ready at a newer version          | not used |
      | after its registration was missing   | not used |
      | as born later                        | used     |

  Scenario: When all servers leave, requests are refused at once as not run
    When the answers of all servers say that they leave
    Then further requests get 503 within 50 ms and do not run

  Scenario: A response of another server at the address says nothing about the intended one
    When a server answers 421 and says that it leaves
    Then the intended server is still used

  # Guards against keys that work again after a restart, from an older copy of the configuration.
  Scenario Outline: A host that restarts without the store does not accept a revoked key
    When a host restarts while the store is away after a key was revoked, and <peer>
    Then the restarted host never serves that key and soon serves the other one

    Examples:
      | peer                                             |
      | all peers know of it                             |
      | one peer was without the store at the withdrawal |
