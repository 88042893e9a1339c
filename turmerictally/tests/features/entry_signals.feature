Feature: Signals to an entry host's process

  Scenario: SIGHUP reloads the settings without stopping the process
    When an entry host's process gets SIGHUP twice, with valid and with invalid settings
    Then it keeps running, applied the valid ones and logged the errors

  Scenario: SIGHUP while modules are imported does not end the process
    When an entry host's process gets SIGHUP before its first module is imported
    Then it starts and serves

  # Guards against exit status -15 for a stop during start-up (soak seed 7).
  Scenario: SIGTERM while modules are imported is a clean exit
    When an entry host's process gets SIGTERM before its first module is imported
    Then it ends with status 0

  Scenario: SIGHUP while the settings are read is not lost
    When the settings change and SIGHUP comes while a starting process reads them
    Then it starts with the old settings and applies the new ones
