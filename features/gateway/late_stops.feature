Feature: Planned stops whose signal is handled late
  The platform counts the grace time from the arrival of the signal. A process that is stopped, or
  whose machine is suspended or busy, handles it later.

  # Guards against requests that are accepted as if the grace time began with the handling.
  Scenario: an instance that was suspended around its SIGTERM refuses what the kill would cut off
    Given the store's stand-in with a routing configuration and 2 upstreams
    And a gateway process with a grace time of 3 s
    When it is suspended for 1.5 s, and gets SIGTERM meanwhile
    Then a call of at most 3 s is refused and reaches no upstream

  # Guards against a periodic task that runs before the signal's handler and hides the stall.
  Scenario Outline: the arrival of a signal is bounded by the turns of a periodic task
    Given a periodic task of 0.2 s that ran at <turns> s
    Then a signal that is handled at <handled> s arrived at most <delay> s before

    Examples: handled before the next turn, after it, much later, and without a stall
      | turns         | handled | delay |
      | 0.0           | 4.0     | 4.0   |
      | 0.0, 4.0      | 4.01    | 4.01  |
      | 0.0, 4.0, 4.2 | 4.3     | 0.0   |
      | 0.0, 0.2      | 0.35    | 0.0   |
      | 0.0, 0.21     | 0.22    | 0.0   |
      | 0.0, 0.2      | 0.55    | 0.35  |
