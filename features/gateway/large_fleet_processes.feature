Feature: A large fleet of real processes
  Twenty-two instances in two zones before the store's stand-in.

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
