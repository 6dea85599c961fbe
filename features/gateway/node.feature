Feature: The gateway as a process
  Two real instances with the store's stand-in.

  Scenario: two instances serve, stop and follow the store
    Given the store's stand-in with a routing configuration and 2 upstreams
    And 2 gateway processes
    Then both become ready and each is located with the other
    And both serve calls and show metrics
    When a newer routing configuration is stored
    Then both serve its new route
    When a policy is submitted on the store
    Then both have it in force
    When the first one's settings change to wrong ones
    Then it says so and serves on
    When the store goes down and the first one is told to stop
    Then it is not ready at once and the second one locates only itself
    And it ends by itself with 0

  Scenario: an instance that the store does not answer learns from its peer
    Given the store's stand-in with a routing configuration and 2 upstreams
    And a gateway process, and one more that reaches the store through a gate
    Then both become ready and each is located with the other
    When the gate is shut and a newer routing configuration is stored
    Then both serve its new route
    When an upstream is removed from the store
    Then neither sends it any call within 10 calls

  Scenario: an instance whose path to the store falls silent learns from its peer who leaves
    Given the store's stand-in with a routing configuration and 2 upstreams
    And a gateway process, and one more that reaches the store through a gate
    Then both become ready and each is located with the other
    When the gate falls silent
    And an upstream is removed from the store
    Then neither sends it any call within 10 calls

  Scenario: a large routing configuration passes between instances
    Given the store's stand-in with a routing configuration and 2 upstreams
    And a gateway process, and one more that reaches the store through a gate
    Then both become ready and each is located with the other
    When the gate is shut and a newer routing configuration of 400 routes is stored
    Then both serve its new route
    And both processes still run

  Scenario: an instance that starts while the store does not answer it learns all from its peer
    Given the store's stand-in with a routing configuration and 2 upstreams
    And a gateway process
    And one more that reaches the store through a gate that is shut
    Then both become ready and each is located with the other
    And both serve calls and show metrics
