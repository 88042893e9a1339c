Feature: An entry host follows the row store as it fails
  Scenario: A withdrawn key stops working through peers when the store refuses a host
    When the store refuses one host and a key is withdrawn
    Then the key is refused at every host within 4 s
    And the other keys go on

  Scenario: A host that starts while the store refuses it learns from its peers
    When a host that the store always refused is told of by its peers
    Then it serves requests

  Scenario: Dropped history is answered by a full read, and nothing goes back
    When history is dropped with changes unseen, and reads answer from an earlier moment
    Then the newest configuration holds from then on
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

  # Guards against a live server that is left out for good as a peer's copy lacked its row.
  Scenario: A row that a peer's copy lacks is back with the next answer of the store
    When a peer's newer copy lacks a row that the store still has
    Then no other host is told of a removal
    And the row is back after a full read of the store

  Scenario: Registrations that lapse during an outage are kept until they are back
    When the store is down and comes back without its registrations
    Then requests are served all the while
    And a server that stays away gets nothing 3 s after the return

  Scenario: A draining server gets nothing more and its streams end whole
    When a server reports that it drains
    Then its streams end whole and it gets no further request

  Scenario: A store that goes silent is noticed and each host serves on
    When the store is silent for 6 s
    Then requests are served all the while
    And one line tells when it was lost, and one when it came back

  Scenario: The row of a host that is gone for good is deleted
    When a host is lost for good and 130 s pass
    Then the others know only each other

  Scenario: Rows of another writer name no server
    When rows that cannot be read lie among the servers
    Then requests are served all the while
