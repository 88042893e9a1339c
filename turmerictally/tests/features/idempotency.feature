Feature: A non-idempotent request runs at most once
  Scenario: Resends at the same moment and after the response
    When a confirmation is sent to two hosts at once and later to a third
    Then it ran once
    And every host returns the one stored response or reports it in progress

  Scenario: Another body and another team with the same key
    When the same key comes with another body and from another team
    Then the other body is rejected and the other team's request ran independently

  Scenario: The holder is lost after it sent the request
    When a host is killed while its confirmation runs and the caller resends it
    Then it ran once
    And the resend is rejected with an unknown outcome

  Scenario: The platform is down
    When the platform is down before a confirmation and while another one runs
    Then the first is refused as not run and did not run
    And the second gets its response, stored once the platform is available again

  Scenario: A planned stop stores the responses that are not stored yet
    When a host drains its claims while the platform comes back
    Then another host replays the response after the stop

  Scenario: An abandoned claim can be taken over by another host
    When the response to a claim is lost and the caller resends to another host
    Then another host runs the confirmation once

  Scenario: A response is not replayed on routes without authentication
    When a caller without a team resends a confirmation
    Then it ran once
    And the resend is refused as done

  Scenario: At most once under resends, lost responses, outages and dead hosts
    When resends meet random faults
    Then no confirmation ran twice and no error falsely said not run
    But without claims a confirmation runs twice
    But with claims taken over from dead hosts one runs twice too
