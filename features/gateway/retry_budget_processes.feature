Feature: The retry budget of real processes
  Each instance has a share of its own, borrows from others, and has a small share after a restart.

  Background:
    Given the store's stand-in with a routing configuration, 2 portals and 0 engines
    And 4 gateway processes that know each other
    And all portals turn requests away

  # Guards against shares that one instance alone can't use more of than its own.
  Scenario: an instance whose share is used up borrows from the others
    When one instance is asked for "/safe/a" until it has sent 30 retries
    Then it has borrowed retries of others
    And the portals got no more than 0.95 of the allowed retries

  # Guards against a second share for a process that replaces another within the window.
  Scenario: a restarted instance does not use the share of its predecessor again
    When one instance is asked for "/safe/a" until it has sent 10 retries
    And the others end, and it is killed and starts again
    Then it sends none of the next 20 requests again
