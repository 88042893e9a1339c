Feature: Hosts call each other over authenticated streams
  Scenario: Calls, errors and deadlines cross the protocol
    Given two hosts of one deployment
    Then a call is answered and the handler knows who called
    And an error arrives with its kind, its ran and its retry time
    And an unknown call kind and a failing handler are answered
    And a handler is cancelled when the carried time is over

  Scenario: Only hosts of the deployment are let in
    Given two hosts of one deployment
    Then a host with another secret is refused and refuses
    And without comparing proofs it would be let in
    And a proof cannot be replayed
    And an adjacent protocol version is accepted and a farther one refused

  Scenario: A slow peer blocks nobody
    Given two hosts of one deployment
    Then calls pass a stuck one on the same stream
    And a connection runs a bounded number of calls

  Scenario: Streams come and go
    Given two hosts of one deployment
    Then a restarted host is called again
    And an idle stream is closed and opened again
    And a silent stream is given up
    And calls to an absent host fail at once while backing off

  Scenario: Mutual TLS keeps strangers out and follows its files
    Given hosts with certificates
    Then they call each other
    And a host with another authority's certificate cannot connect
    And a renewed certificate serves the next stream while the first goes on

  Scenario: Broken messages harm nobody
    Given two hosts of one deployment
    Then any envelope from outside is refused or answered
