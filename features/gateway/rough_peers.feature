Feature: Connections to the peers' port that exhaust memory or descriptors
  Two real instances; the one that is attacked learns changes from its peer alone.

  # Guards against frames that are not authenticated and together exhaust the memory.
  Scenario: frames held open short of their end at the peers' port
    Given the store's stand-in with a routing configuration and 2 upstreams
    And a gateway process, and one more that reaches the store through a gate
    Then both become ready and each is located with the other
    When 60 connections to the peers' port each send a frame of 4 MB but its last bytes
    And the gate is shut and a newer routing configuration is stored
    Then both serve its new route
    And both processes still run
    And the instance with this peers' port has used at most 160 MB and 300 descriptors

  # Guards against connections that stay open for as long as a byte arrives now and then.
  Scenario: frames that trickle at the peers' port
    Given the store's stand-in with a routing configuration and 2 upstreams
    And a gateway process, and one more that reaches the store through a gate
    Then both become ready and each is located with the other
    When 60 connections to the peers' port each send a frame byte by byte
    And the gate is shut and a newer routing configuration is stored
    Then both serve its new route
    And the peers' port closes the connections of the crowd
    And both processes still run
    And the instance with this peers' port has used at most 160 MB and 300 descriptors

  # Guards against frames without the key that take all processor time, or fill the log.
  Scenario: frames that are not authentic at the peers' port
    Given the store's stand-in with a routing configuration and 2 upstreams
    And a gateway process, and one more that reaches the store through a gate
    Then both become ready and each is located with the other
    When 20 connections to the peers' port each send 50 false frames of 100 kB
    And the gate is shut and a newer routing configuration is stored
    Then both serve its new route
    And both processes still run
    And the instance with this peers' port has used at most 160 MB and 300 descriptors

  # Guards against a peers' port that takes the last descriptor.
  Scenario: silent connections beyond the descriptors of the peers' port
    Given the store's stand-in with a routing configuration and 2 upstreams
    And two gateway processes with 256 descriptors, one behind a gate
    Then both become ready and each is located with the other
    When 400 silent connections to the peers' port are opened
    And the gate is shut and a newer routing configuration is stored
    Then both serve its new route
    And both processes still run
    And the instance with this peers' port has used at most 160 MB and 240 descriptors

  # Guards against an exception of a handler that no log line tells of.
  Scenario: a message whose handler raises is logged, and the peers' port goes on
    Given two linked instances, one of which raises on its first message
    When messages are sent over that link until one has been handled
    Then the log names the exception of the handler
