Feature: Orders to engines are carried out once, in order, by one holder

  Scenario: Of operators who race one wins and the other is told
    When two operators order different versions for one server at once
    Then one order is applied and the other operator gets a conflict naming it

  Scenario: A repeated order is harmless
    When an order is given again while pending and after it was applied
    Then the engine has received that order once

  Scenario Outline: A holder paused past its lease changes nothing on an engine that <kind>
    When a holder paused before it sends is overtaken on an engine that <kind>
    Then that engine keeps the newest ordered version

    Examples:
      | kind           |
      | checks fences  |
      | ignores fences |

  Scenario: Without the check of the time left a paused holder undoes a newer order
    When the check of the order lease's time left is taken away
    And a holder paused before it sends is overtaken on an engine that ignores fences
    Then that engine has lost the newest ordered version

  Scenario Outline: An order <delay> s late is undone on an engine that ignores fences
    When an order arrives <delay> s late from a dead holder with <safeguard>
    Then the engine <result> the newest ordered version

    Examples:
      | delay | safeguard                       | result |
      | 9     | both safeguards                 | keeps  |
      | 9     | only the wait before takeover   | keeps  |
      | 9     | neither wait nor second reading | loses  |
      | 45    | both safeguards                 | keeps  |
      | 45    | only the wait before takeover   | loses  |

  Scenario Outline: The last server of a model is not taken away with <guard>
    When both servers of a model are ordered to unload it with <guard>
    Then <count> of the two servers serve the model

    Examples:
      | guard                  | count |
      | the guard              | 1     |
      | no reserved removals   | 0     |
      | no reading of engines  | 0     |

  Scenario: Loads keep to the weight store's rate
    When more loads are ordered than the weight store allows in a minute
    Then all orders of the loads are applied, each with one download within the rate

  Scenario: No schedule of lost answers, deaths and pauses breaks the orders
    When orders are given over many schedules of faults
    Then every order ended once, fences only grew and the last order is in force

  Scenario: Orders are sent as engines expect them
    When an order is sent to the engine stand-in over HTTP
    Then the stand-in follows it and refuses an older fence

  Scenario: An operator's order goes all the way
    Given a running deployment
    When the operator orders a role for a server that checks fences
    Then the order is applied and in the audit trail under the operator's name
    And an order to a plain service is refused
    And an order with a wrong action is refused as a bad request
