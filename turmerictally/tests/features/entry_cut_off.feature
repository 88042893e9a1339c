Feature: An entry host that was cut off does not count the others as stopped
  # Guards against QUOTA: a host that read no row renewals counted only itself.
  Scenario: A host in a long partition holds no more than its own quota share
    When one of three hosts is cut off from the store and the others for 45 s
    Then it never holds more than a third of the quotas

  # Guards against QUOTA: the others took over the share of a host that still held it.
  Scenario: The quota shares on both sides of a long partition never exceed the full quotas
    When one of three hosts is cut off from the store and the others for 45 s
    Then both sides never hold more than the full quotas together

  # Guards against releasing shares in a store outage during which hosts reach each other.
  Scenario: Hosts that reach each other hold the full quotas in a store outage
    When the store is unavailable to three hosts for 45 s
    Then they hold the full quotas all the while

  # Guards against jobs that are taken over, and run items again, during a partition.
  Scenario: A host that reaches no other host takes over no job of a living owner
    When one of three hosts is cut off from the others and reads no host rows for 10 s
    Then it takes no job that another host runs

  # Guards against deleting rows of living hosts, which then receive no digests for a while.
  Scenario: A host that reaches no other host deletes no row of a living host
    When one of three hosts is cut off from the others and reads no host rows for 130 s
    Then no host's row is deleted

  # Guards against DRAIN and TWICE on real sockets.
  Scenario: A closed connection sends nothing more
    When a host closes a connection whose server has not read what was sent
    Then the server finds it reset and never reads all of it

  # Guards against DRAIN and TWICE: after a partition, the kernel sends what was written to
  # a connection that was closed gracefully.
  Scenario Outline: Requests abandoned in a partition do not reach a server after it
    When a host is cut off from a server for <cut_s> s while <work> is on its way there
    Then nothing that was sent before reaches the server after the cut

    Examples:
      | work                               | cut_s |
      | a request that goes on elsewhere   | 4     |
      | a request whose caller leaves      | 2     |
      | a request that may run once only   | 4     |
      | a request that may run once only   | 2     |
      | a batch item                       | 4     |
