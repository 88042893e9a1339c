Feature: Orders to engines are applied once, in order, by one lease holder

  Scenario: Of two concurrent orders to one server one is accepted
    When two operators submit orders for different versions to one server at once
    Then one order is applied and the other operator gets a conflict that names it

  Scenario: An order submitted again is not sent again
    When an order is submitted again while pending and after it was applied
    Then the engine has received that order once

  Scenario Outline: A holder paused past its lease does not change an engine that <kind>
    When a holder pauses before its send and another host takes over an engine that <kind>
    Then that engine serves the newest ordered version

    Examples:
      | kind                   |
      | checks fencing tokens  |
      | ignores fencing tokens |

  Scenario: Without the check of the remaining lease a paused holder undoes a newer order
    When executors do not check the remaining lease before a send
    And a holder pauses before its send and another host takes over an engine that ignores fencing tokens
    Then that engine has returned to the older version

  Scenario Outline: An order that arrives <delay> s late on an engine that ignores fencing tokens
    When an order arrives <delay> s late from a killed lease holder with <safeguard>
    Then the engine <result> the newest ordered version

    Examples:
      | delay | safeguard                     | result |
      | 9     | both safeguards               | keeps  |
      | 9     | only the wait before takeover | keeps  |
      | 9     | neither wait nor second read  | loses  |
      | 45    | both safeguards               | keeps  |
      | 45    | only the wait before takeover | loses  |

  Scenario Outline: Concurrent unloads of a model from both its servers with <guard>
    When both servers of a model are ordered to unload it with <guard>
    Then <count> of the two servers serve the model

    Examples:
      | guard                   | count |
      | the guard               | 1     |
      | no removal reservations | 0     |
      | no reads of engines     | 0     |

  Scenario: Loads stay within the weight store's download rate
    When more loads are ordered than the weight store allows in a minute
    Then every load is applied, with one download each and within the rate

  Scenario: Orders stay correct under lost responses, killed hosts and pauses
    When orders are submitted under many fault schedules
    Then each order ends once, fencing tokens only grow and the last version is served

  Scenario: Orders are sent in the format that engines expect
    When an order is sent to the engine stand-in over HTTP
    Then the stand-in applies it and rejects an older fencing token

  Scenario: An operator submits orders through the operators' API
    Given a running deployment
    When the operator orders a role for a server that checks fencing tokens
    Then the order is applied and in the audit trail under the operator's name
    And an order to a plain service is refused
    And an order with an unknown action is refused as a bad request
