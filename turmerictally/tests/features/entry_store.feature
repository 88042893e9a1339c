Feature: An entry host keeps its local tables up to date while the row store fails
  Scenario: A withdrawn key stops working through peers when the store refuses a host
    When the store refuses one host and a key is withdrawn
    Then the key is refused at every host within 4 s
    And the other keys stay valid

  Scenario: A host that starts while the store refuses it gets its tables from peers
    When a host is refused by the store from its start, and known to its peers
    Then it serves requests

  Scenario: After dropped history a full read follows, and no row reverts
    When history is dropped with changes unseen, and reads answer from an earlier moment
    Then the newest configuration stays applied
    And the server that left gets nothing 2 s after the reads are right

  Scenario: A server that drains is not used again after reads from an earlier moment
    When a server drains, history is dropped and reads answer from before that
    Then that server gets no request after it drained

  # Guards against DRAIN: an older read or copy brought a server back that had left.
  Scenario: A server that was removed is not used again after reads from an earlier moment
    When a server is removed, history is dropped and reads answer from before that
    Then that server gets no request after it drained

  # Guards against DRAIN in the same way, in the copy itself.
  Scenario: A removed row does not come back with a copy that holds it at an older version
    When a row is removed and a peer's copy holds it at an older version
    Then the row stays removed, and comes back with a newer version

  # Guards against excluding a live server permanently as a peer's copy lacked its row.
  Scenario: A row that a peer's copy lacks is back with the next answer of the store
    When a peer's newer copy lacks a row that the store still has
    Then no other host receives a removal
    And the row is back after a full read of the store

  Scenario: Registrations that lapse during an outage are kept until they are back
    When the store is down and comes back without its registrations
    Then all requests are served meanwhile
    And a server that stays away gets nothing 3 s after the return

  Scenario: A draining server gets no further request and its streams complete
    When a server reports that it drains
    Then its streams complete and it gets no further request

  Scenario: A store outage is logged and each host continues to serve
    When the store is unavailable for 6 s
    Then all requests are served meanwhile
    And the outage's start and its end are logged once for each table

  Scenario: The row of a host that is lost permanently is deleted
    When a host is lost permanently and 130 s pass
    Then the others know only each other

  Scenario: Rows that cannot be read are ignored
    When rows that cannot be read lie among the servers
    Then all requests are served meanwhile
