Feature: A non-idempotent request runs at most once
  Scenario: Resends at the same moment and after the answer
    When a confirmation is sent to two hosts at once and later to a third
    Then it ran once
    And every host answers with the one stored answer or says it is in progress

  Scenario: Another body and another team with the same key
    When the same key comes with another body and from another team
    Then the other body is refused and the other team's request ran by itself

  Scenario: The holder is lost after it sent the request
    When a host is killed while its confirmation runs and the caller resends it
    Then it ran once
    And the resend is told that it may have run

  Scenario: The platform is down
    When the platform is down before a confirmation and while another one runs
    Then the first is refused as not run and did not run
    And the second is answered and stored once the platform is back

  Scenario: A planned stop stores the answers that the platform did not take yet
    When a host drains its claims while the platform comes back
    Then another host replays the answer after the stop

  Scenario: An abandoned claim can be taken over by another host
    When a claim's answer is lost, the platform goes down and the caller moves on
    Then another host runs the confirmation once

  Scenario: An answer is not replayed on routes open to all
    When a caller without a team resends a confirmation
    Then it ran once
    And the resend is refused as done

  Scenario: At most once under resends, lost answers, outages and dead hosts
    When resends meet random faults
    Then no confirmation ran twice and no refusal was untrue
    But without claims the check finds a confirmation that ran twice
    But with claims that are taken over from dead hosts it finds one too
