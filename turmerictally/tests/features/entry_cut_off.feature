Feature: An entry host that was cut off does not take the others for gone
  # Guards against a host that takes its own lack of contact for the others' absence, as
  # in the DRAIN incident: here it would hold the whole of each quota.
  Scenario: A host that is cut off for long holds no more than its own share of the quotas
    When one of three hosts is cut off from the store and the others for 45 s
    Then it never holds more than a third of the quotas meanwhile

  # Guards against QUOTA in a long cut: the others divided the share of a host among them
  # that went on holding it.
  Scenario: What both sides of a long cut hold of the quotas is never more than the whole
    When one of three hosts is cut off from the store and the others for 45 s
    Then both sides never hold more than the whole together

  # An outage of the store alone costs nobody a share: the hosts hear each other.
  Scenario: Hosts that hear each other hold the whole without the store
    When the store is away from three hosts for 45 s
    Then they hold the whole of the quotas meanwhile

  # The same class: jobs would change their owner, and items would run again.
  Scenario: A host that hears no other host takes no job from an owner that lives
    When one of three hosts is cut off from the others and told of no hosts for 10 s
    Then it takes no job that another host runs

  # The same class: the others would not be told of requests in flight for a while.
  Scenario: A host that hears no other host deletes no row of a host that lives
    When one of three hosts is cut off from the others and told of no hosts for 130 s
    Then no host's row is deleted
