Feature: No requests to an upstream that has said it leaves
  What was seen: real instances sent 4 to 144 requests in 40 s to upstreams that had given notice more
  than two seconds before, all instances alike, up to 7.5 s after the notice; routes that were
  added or dropped were handled as before up to 192 times. No instance logged anything, and each
  said that it followed the platform.

  How it came about: the open connections between the instances and the store fell silent, without a
  reset, while new ones worked. Each instance waited on such a connection for word of a change.

  Cause: an instance took silence for "nothing has changed" for as long as its question waited, up
  to 26 s, where it must know of a notice 3 s after the disturbance. Class: what is known is
  trusted without a bound on its age.

  Proof: 9 of 9 runs of the soak's plan "leaving" on the code of three versions broke the promise; two
  of them, played again without the steps that silence connections, did not.

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
