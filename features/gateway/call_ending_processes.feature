Feature: Upstream processes that end within responses without framing
  A real gateway process and real upstream processes, with the store's stand-in.

  # Guards against truncated responses of killed processes that reach callers as successes.
  Scenario Outline: calls <kind> at upstream processes that are killed within an unframed response
    Given the store's stand-in with a routing configuration and 2 upstreams
    And 2 upstream processes that end within their first response, and 4 that live
    And a gateway process
    When 24 calls <kind> are made to them, 3 at once
    Then each was answered whole, or <otherwise> if it ran at a process that ended
    And both of the first processes have ended

    Examples:
      | kind                       | otherwise |
      | that may run only once     | 502       |
      | that may be repeated       | 502       |
