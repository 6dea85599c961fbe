Feature: Close-delimited streams and real processes that stop
  A real gateway process, and real processes as its engines that frame nothing, close their connections first and end later.

  # Guards against streams that are told to be complete by upstreams that stop: connections first, process later.
  Scenario Outline: streams of processes that close them early and end <later>, whose checks are answered <checks>, are reset
    Given the store's stand-in with a routing configuration and 2 upstreams
    And 3 engine processes that close their streams early and end <later>, with checks answered <checks>
    And a gateway process
    When 6 streams are sent to stopping processes
    Then none of them ends in order, and each has only what was sent

    Examples:
      | later        | checks   |
      | 0.08 s later | with 200 |
      | 0.3 s later  | with 200 |
      | 0.3 s later  | with 503 |
      | 1.5 s later  | with 200 |
      | 0.3 s later  | never    |
      | never        | with 200 |

  # Guards against a truncated stream that looks whole as its instance was killed.
  Scenario: streams without framing are reset when their gateway process is killed
    Given the store's stand-in with a routing configuration and 2 upstreams
    And 3 engine processes whose streams end with their connection
    And a gateway process
    When 6 streams are under way, and the gateway process is killed
    Then the connection of each caller is reset
