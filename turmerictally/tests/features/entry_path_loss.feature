Feature: Hosts that lose their paths to servers don't blame requests for it
  # Guards against batch items that are accepted and never run, as a loss of paths was
  # taken for servers that crashed under their prompts.
  Scenario Outline: Items of hosts that lost their paths to all servers are done soon after
    When three of six hosts lose their paths to all servers for 6 s while jobs arrive there, seed <seed>
    Then each job is done before it is due
    And no request is refused for its prompt later than 6 s after the paths are back
    And hosts know within 0.5 s that their paths are lost, and within 1 s that they are back
    And no host leaves out a server for 2 s that other hosts reach

    Examples:
      | seed |
      | 1    |
      | 2    |
      | 3    |
