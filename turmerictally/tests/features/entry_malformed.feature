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
