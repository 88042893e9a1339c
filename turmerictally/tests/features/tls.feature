Feature: Listeners speak TLS and follow their certificate files
  Scenario: A certificate is renewed without a cut
    Given a TLS listener with a certificate
    Then a renewed certificate serves new connections and cuts no open one
    And without reading it again new connections would fail
    And files that do not fit leave the old certificate in use

  Scenario: Operators' certificates are required where an authority is set
    Given a TLS listener with a certificate
    Then a client without a certificate is refused by a listener with an authority

  Scenario: Settings of TLS are checked early
    Then a certificate without its key or a peers' authority is a fault
