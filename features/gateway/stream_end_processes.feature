Feature: Streams of upstream processes that are killed
  A real gateway process with the store's stand-in and real processes as its engines.

  # Guards against streams that end as complete, at one moment, as the processes of their upstreams end.
  Scenario: streams that end with a last chunk are not complete when their upstreams are killed
    Given the store's stand-in with a routing configuration and 2 upstreams
    And 3 engine processes whose streams end with a last chunk
    And a gateway process
    When 12 streams are under way, and 2 of the engine processes are killed
    Then each stream of a killed process has no end, and the others arrive whole
    And the streams of the killed processes have no further event

  # Guards against the same for streams that end with their connection, of which nothing shows that one is whole.
  Scenario: streams that end with their connection are reset when their upstreams are killed, and at their end
    Given the store's stand-in with a routing configuration and 2 upstreams
    And 3 engine processes whose streams end with their connection
    And a gateway process
    When 12 streams are under way, and 2 of the engine processes are killed
    Then each stream is reset, those of a killed process early and the others after their last event
    And the streams of the killed processes have no further event

  # Guards against sound streams that lose events or wait as their upstreams frame nothing.
  Scenario: sound streams that end with their connection arrive with every event, and are reset soon after the last one
    Given the store's stand-in with a routing configuration and 2 upstreams
    And 3 engine processes whose streams end with their connection
    And a gateway process
    When 12 streams are sent
    Then all of them arrive with every event, and are reset within 0.4 s after the last one
