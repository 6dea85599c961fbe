Feature: No requests to an upstream that has said it leaves
  Guards against instances that miss changes because their open connections to the store fall silent
  without a reset, while new connections work. An instance took silence for "no change" until its
  watch timed out, up to 26 s, where it must know of a notice 3 s after the disturbance.

  Instances sent 4 to 144 requests in 40 s to upstreams that had given notice more than two seconds
  before, up to 7.5 s after the notice, and handled added or dropped routes as before up to 192 times.
  They logged nothing and reported that they followed the platform. 9 of 9 runs of the soak's plan
  "leaving" on three versions failed in this way; two of them, replayed without silent connections,
  passed.

  Background:
    Given the store's stand-in with a routing configuration and 2 upstreams
    And a gateway process whose way to the store is a gate
    And a time of 3 s in which an instance must have caught up after a disturbance

  Scenario: a notice is known in time though all connections to the store have fallen silent
    When its connections to the store fall silent just as it asks for changes of "servers"
    And upstream "i-1" gives notice
    Then it sends "i-1" nothing more within that time
    And its log tells that it had heard nothing of the platform for at least 1 s

  Scenario: a configuration is known in time though all connections to the store have fallen silent
    When its connections to the store fall silent just as it asks for changes of "config"
    And a newer routing configuration is stored
    Then it serves the new route within that time
