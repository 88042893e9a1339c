Feature: The online path's benchmarks stay within their stated bounds
  Scenario Outline: The online benchmark <name> meets its bounds
    When the online benchmark "<name>" runs
    Then every bound of the online benchmark holds

    Examples:
      | name     |
      | routing  |
      | yielding |
      | brownout |

  Scenario: The online benchmarks are reproducible
    When parts of the online benchmarks run twice
    Then both runs give the same figures
