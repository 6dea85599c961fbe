Feature: A gateway sends on no more what crashes its upstreams
  Poison detection and quarantine at one gateway with stand-ins of its upstreams.

  Background:
    Given a gateway that finds out which upstreams have crashed

  Scenario: a stream under which two engines have crashed is refused at once
    Given the upstreams of "r1" and "r2" will crash as they run them
    When "/stream/x" is asked twice, as "r1" and then as "r2"
    And "/stream/x" is asked once, as "r3"
    Then "r3" is refused at once: not run, for about 30 s, by code "crashes_runners"
    And no upstream got "r3"
    And "/stream/y" asked as "r4" is served whole

  Scenario: a safe call that crashes both upstreams of one attempt is refused from then on
    Given both upstreams that get "r1" will crash as they run it
    When "/safe/x" is asked once, as "r1"
    Then "r1" is answered 502 and has run twice
    When "/safe/x" is asked once, as "r3"
    Then "r3" is refused at once: not run, for about 30 s, by code "crashes_runners"

  Scenario Outline: what is no crash is held against nobody
    Given the upstreams of "r1", "r2" and "r3" will <end>
    When "<path>" is asked three times, as "r1", "r2" and "r3"
    Then "<path>" asked as "r4" is served whole

    Examples:
      | end                                      | path      |
      | break off without an answer              | /stream/x |
      | break off after the head                 | /stream/x |
      | break off within the answer              | /once/x   |
      | answer with a failure                    | /once/x   |
      | end as they had told the platform before | /stream/x |

  Scenario: a good end clears a request
    Given the upstreams of "r1" and "r2" will crash as they run them
    When "/stream/x" is asked once, as "r1"
    And a peer tells that the request has ended well since
    And "/stream/x" is asked once, as "r2"
    Then "/stream/x" asked as "r4" is served whole

  Scenario: a stream is not gone on with at a copy once it is known to crash engines
    Given the engine of "r1" will break off just after a peer has told of two crashes
    When "/stream/x" is asked once, as "r1"
    Then it ends broken, and no second engine got it

  Scenario Outline: an answer that ends with its connection is no good end until its upstream is known to live
    Given a peer tells of two crashes under "/stream/x", so long ago that it may be tried again
    And the upstream of "r1" answers without a length and <ends>
    When "/stream/x" is asked once, as "r1"
    Then the crashes <count>

    Examples:
      | ends             | count          |
      | ends with it     | still count    |
      | can't be probed  | still count    |
      | lives on         | count no more  |

  Scenario: an operator finds the request and clears it
    Given the upstreams of "r1" and "r2" will crash as they run them
    When "/stream/x" is asked twice, as "r1" and then as "r2"
    Then the metrics page counts one request that is refused
    And "driftstall crashes" names the request with its upstreams
    When the operator clears it by "driftstall crashes"
    Then "/stream/x" asked as "r4" is served whole

  Scenario: who tells a peer of less than this instance knows is told the rest
    When a peer that knows nothing asks which requests ran beside crashes
    Then it is told nothing
    Given a peer tells of two crashes under "/stream/x"
    When a peer that knows nothing asks which requests ran beside crashes
    Then it is told of both crashes
    When a peer that knows of both asks
    Then it is told nothing

  Scenario: who holds crashes against what has just ended well elsewhere is told so at once
    When "/stream/x" is asked once, as "r1"
    And a peer tells of two crashes under "/stream/x", and asks nothing
    Then it is told of the good end, and "/stream/x" asked as "r4" is served whole

  Scenario: what peers are told travels as it is
    Then these records arrive as they were sent
      | fingerprint | crashes                              | well ago ms |
      | aa          |                                      | 5           |
      | bb          | u1 0 begun, u2@17 7200000 under way  |             |
      | cc          | u1 4 begun                           | 0           |
