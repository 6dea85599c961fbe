Feature: A large fleet of real processes
  Twenty-two instances in two zones with the store's stand-in.

  Scenario: a large fleet follows the store through its collectors, and without them
    Given the store's stand-in with a routing configuration and 2 upstreams
    And 22 gateway processes in 2 zones
    Then all become ready and each is located with the others of its zone
    And 4 of them collect
    And in 3 s without changes the store gets fewer than 30 calls
    When a newer routing configuration is stored
    Then all serve its new route within 3 s
    When the collectors are killed and a further routing configuration is stored at once
    Then the others serve its new route within 3 s
    When an upstream is removed from the store
    Then neither sends it any call within 10 calls

  Scenario: a large fleet sends on no more what crashes its engines
    Given the store's stand-in with a routing configuration and 5 engines that some requests crash
    And 20 gateway processes in 2 zones
    Then all become ready and each is located with the others of its zone
    When a caller asks for "/stream/fatal" again and again at all instances by turns for 10 s
    Then at most 3 engines have crashed
    And each answer without a run says so and tells when to come back
    When the collectors are killed at once
    And a caller asks for "/stream/fatal" again and again at all instances by turns for 5 s
    Then at most 3 engines have crashed
