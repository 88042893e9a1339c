Feature: Settings are checked early
  Scenario: The minimal settings are enough
    Given the minimal settings
    When the settings are checked
    Then there is no fault
    And every key has a default or is required

  Scenario: Every fault is reported at once with its key path
    Given the minimal settings
    And these settings over them
      """
      host_id: ""
      surprise: 1
      listen: {callers: "localhost:1", colour: red}
      batch: {lease_s: soon}
      """
    When the settings are checked
    Then the faults are
      """
      batch.lease_s: expected a number
      host_id: expected a non-empty text
      listen.colour: unknown key
      surprise: unknown key
      """

  Scenario: The fleet's failure domains must hold the host's own
    Given the minimal settings
    And these settings over them
      """
      limits: {failure_domains: [luzon-b]}
      """
    When the settings are checked
    Then the faults are
      """
      limits.failure_domains: expected a list of names with the own one, luzon-a
      """

  # Guards against hosts that hang as they rank a very large number of slots.
  Scenario: A failure domain has a limited number of limit slots
    Given the minimal settings
    And these settings over them
      """
      limits: {slots_per_domain: 100000000}
      """
    When the settings are checked
    Then the faults are
      """
      limits.slots_per_domain: expected a number up to 1024
      """

  Scenario: The settings page lists every key with its default
    Then docs/settings.md has a row for each key and default
    And docs/settings-entry.md has a row for each key and default

  Scenario Outline: The users' platform renders the settings of an entry host
    Then the template of the users' platform gives valid settings <where> a bound for cold servers

    Examples:
      | where   |
      | with    |
      | without |

  Scenario: An operator's lists of requests hold digests only
    Given an entry host's settings file that exempts the request "r1171"
    Then loading it fails for requests.exempt

  Scenario: Every error kind has an answer
    Then each kind has a row in the table and in docs/callers.md

  # Guards against a malformed file that ends a host which reads its settings again.
  Scenario: Malformed settings files are reported like other faults
    When each malformed settings file of an entry host is read
    Then each one is reported with its faults
