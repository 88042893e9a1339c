Feature: Malformed rows and messages of other writers do not disturb an entry host
  # Guards against one malformed registration that ends every host, stops it from
  # following the servers' table, or is taken for a server.
  Scenario: Malformed registrations beside good ones
    When each malformed registration lies beside good ones or replaces one, from before a host starts and later
    Then the hosts serve from good servers only, follow the table, and log each row once

  # Guards against one malformed configuration that ends every host, or is applied.
  Scenario: Malformed configurations
    When each malformed configuration follows a good one, and a host starts meanwhile
    Then the hosts serve as the last good one says, and apply the next good one

  # Guards against an unexpected error on one row that ends a watch and the process.
  Scenario: A row that cannot be applied
    When one of several rows cannot be applied, at the first read and later
    Then the others are applied, the watch goes on, and each failure is logged once

  # Guards against a job's body that closes its caller's connection without an answer,
  # or that is accepted and then ends every host that owns the job.
  Scenario: Malformed batch jobs
    When each malformed batch job is submitted, and a position is asked that is no number
    Then each job gets a 400 and the connections and hosts go on

  # Guards against one malformed row among those of the hosts that ends every host.
  Scenario: Malformed rows of hosts
    When malformed rows of hosts lie beside good ones, from before a host starts and later
    Then the hosts go on, know the good rows only, and log each row once

  # Guards against one malformed row of a batch job that ends every host, or that keeps
  # a job of which only saved events are malformed from being taken over.
  Scenario: Malformed rows of batch jobs
    When malformed states of jobs lie beside good ones, and malformed events beside a job whose owner is lost
    Then the hosts go on, log each row, and the job ends
    And malformed items, events and results are read as if the store were unavailable

  # Guards against one malformed datagram that ends a host, or that it counts with.
  Scenario: Malformed digests
    When malformed datagrams and digests arrive between those of the hosts
    Then the hosts go on, apply none of them, and count each one

  # Guards against a malformed copy of a table from a peer that ends a host cut off from
  # the store, or that removes rows.
  Scenario: Malformed copies of peers
    When a host cut off from the store gets malformed copies, and then a good one
    Then it goes on with its own rows, counts each copy, and follows the good one

  # Guards against a server's event that closes a caller's connection without an answer,
  # or ends the host that runs a batch item.
  Scenario: Events with ids that are too long
    When servers send events whose ids have thousands of digits, and later sound ones
    Then a request gets an answer, the hosts go on, and a batch job ends
