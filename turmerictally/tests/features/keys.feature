Feature: Callers' keys

  Scenario: A withdrawn key ends what runs on it on every host
    Given each of 13 hosts runs a stream and a queued request on one key
    When the key is withdrawn on one host
    Then every stream and queued request ends as withdrawn within 5 seconds
    And every host refuses the key from then on
    And without the watch the streams go on

  Scenario: A cut-off host ends what runs on a key when its team's limit passes
    Given each of 4 hosts runs a stream and a queued request on one key
    When one host is cut off and the key is withdrawn
    Then the cut-off host serves the key until the team's limit and no longer
    And the withdrawal is accepted after that and not before

  Scenario: A contract is not removed from under its keys
    Then removing a contract that has keys is a conflict
