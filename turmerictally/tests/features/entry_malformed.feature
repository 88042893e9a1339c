Feature: Malformed rows and messages of other writers do not disturb an entry host
  # Guards against one malformed registration that ends every host, stops it from
  # following the servers' table, or is taken for a server.
  Scenario: Malformed registrations beside good ones
    When each malformed registration lies beside good ones or replaces one, from before a host starts and later
    Then the hosts serve from good servers only, follow the table, and log each row once
