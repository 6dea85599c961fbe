Feature: Streams of upstream processes that are killed
  A real gateway process with the store's stand-in and real processes as its engines.

  # Guards against streams that end as complete, at one moment, as the processes of their upstreams end.
  Scenario Outline: streams that end <framing> are not complete when their upstreams are killed
    Given the store's stand-in with a routing configuration and 2 upstreams
    And 3 engine processes whose streams end <framing>
    And a gateway process
    When 12 streams are under way, and 2 of the engine processes are killed
    Then each stream of a killed process has no end, and the others arrive whole
    And the streams of the killed processes have no further event

    Examples:
      | framing               |
      | with a last chunk     |
      | with their connection |

  # Guards against sound streams that are broken off or wait as their upstreams frame nothing.
  Scenario: sound streams that end with their connection arrive whole, soon after their last event
    Given the store's stand-in with a routing configuration and 2 upstreams
    And 3 engine processes whose streams end with their connection
    And a gateway process
    When 12 streams are sent
    Then all of them arrive whole, and end within 0.4 s after the last event
