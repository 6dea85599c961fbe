Feature: Instances that are partitioned from all upstreams
  One gateway with stand-ins of its upstreams, and two peers that reach them, inside the test process.

  Background:
    Given a gateway with two peers that reach its upstreams

  # Guards against callers of a partitioned instance being refused while its peers reach the upstreams.
  Scenario Outline: a call is served through a peer
    Given its connections to upstreams <fault>
    When "<path>" is asked as "r1"
    Then the answer is 200 "whole" with the upstream's seal
    And "r1" has run on 1 upstreams
    And it came within <seconds> s
    And peers have opened 1 tunnels

    Examples:
      | fault  | path    | seconds |
      | reset  | /once/a | 0.5     |
      | reset  | /safe/a | 0.5     |
      | hang   | /once/a | 1.5     |
      | hang   | /safe/a | 1.5     |

  Scenario: once the partition is known, a call waits for no connection of its own
    Given its connections to upstreams hang
    And a call has been served
    When "/once/a" is asked as "r1"
    Then the answer is 200 "whole" with the upstream's seal
    And it came within 0.3 s

  # Guards against a request going through a peer although upstreams are reachable directly.
  Scenario: an upstream that has crashed is no partition
    Given one plain upstream has crashed
    When "/safe/a" is asked as "r1"
    Then the answer is 200 "whole" with the upstream's seal
    And peers have opened 0 tunnels

  # Guards against a dead peer looking like the end of an answer that its connection frames.
  Scenario Outline: an answer that breaks off on the way is not taken for complete
    Given its connections to upstreams reset
    And the answer to "r1" will come "<how>"
    When "/once/a" is asked as "r1" and <event>
    Then the answer is 502 and promises nothing
    And "r1" has run on 1 upstreams

    Examples:
      | how             | event                 |
      | without an end  | its peer dies         |
      | only when told  | its peer dies         |
      | only when told  | its upstream resets   |

  Scenario: an answer without a length is complete at the end of the upstream's connection
    Given its connections to upstreams reset
    And the answer to "r1" will come "without a length"
    When "/once/a" is asked as "r1"
    Then the whole answer comes

  Scenario: a stream is served through a peer, whole and in order
    Given its connections to upstreams reset
    When "/stream/a" is asked as "r1"
    Then the stream has events 1 to 5 and its end
    And "r1" has run on 1 upstreams
    And peers have opened 1 tunnels

  # Guards against streams that lose events, and whose ends wait for connections which a partition keeps from opening.
  Scenario Outline: a stream without a length arrives with every event through a peer, and is reset soon
    Given its connections to upstreams <fault>
    And a stream has been served
    And the answer to "r1" will come "without a length"
    When "/stream/a" is asked as "r1"
    Then the stream has events 1 to 5, and no end
    And it came within 0.3 s

    Examples:
      | fault |
      | reset |
      | hang  |

  # Guards against a stream that is taken for whole as its upstream ends behind a peer.
  Scenario Outline: a stream without a length that ends with its upstream behind a peer is not whole
    Given its connections to upstreams <fault>
    And a stream has been served
    And the answer to "r1" will come "without a length, as its upstream ends"
    When "/stream/a" is asked as "r1"
    Then the stream has events 1 to 5, and no end

    Examples:
      | fault |
      | reset |
      | hang  |

  # Guards against an engine that works on for a caller who has left, two hops away.
  Scenario: a caller who leaves ends the run within half a second
    Given its connections to upstreams reset
    And the answer to "r1" will come "only when told"
    When "/once/a" is asked as "r1" and its caller leaves
    Then within 0.5 s the peers hold no tunnel any more

  # Guards against an unbounded buffer, or an ended stream, for a caller who reads slowly.
  Scenario: a caller who reads nothing for a while holds the upstream back
    Given its connections to upstreams reset
    And stream "r1" will bring 16 MB
    When "/stream/a" is asked as "r1" and its caller reads nothing for 4 s
    Then less than 12 MB had passed the peers by then
    And the caller then gets all 16 MB

  # Guards against a stream that is lost with the peer through which it came.
  Scenario: a stream whose peer dies is resumed at its backup through another peer
    Given its connections to upstreams reset
    And stream "r1" has a backup and pauses after event 3
    When "/stream/a" is asked as "r1" and its peer dies once event 3 has come
    Then the stream has events 1 to 5 and its end
    And "r1" has run on 1 upstreams from the start

  Scenario: a stream under way when the partition begins is resumed through a peer
    Given stream "r1" has a backup and pauses after event 3
    When "/stream/a" is asked as "r1" and its instance is partitioned by "reset" once event 3 has come
    Then the stream has events 1 to 5 and its end
    And "r1" has run on 1 upstreams from the start

  Scenario: a request is refused at once when no peer reaches the upstreams
    Given its connections to upstreams reset
    And its peers report that they can't reach the upstreams
    When "/once/a" is asked as "r1"
    Then the answer is 503 and tells when to come back
    And it came within 0.3 s
    And "r1" has run on 0 upstreams

  # Guards against a request that travels between partitioned instances.
  Scenario: a peer that is partitioned as well passes a request on to nobody
    Given its connections to upstreams reset
    And its peers are partitioned as well, which nobody knows yet
    When "/once/a" is asked as "r1"
    Then the answer is 503 and tells when to come back
    And "r1" has run on 0 upstreams
    And peers have opened 0 tunnels

  Scenario: a peer that is cut off after the choice is replaced by another one
    Given its connections to upstreams reset
    And one peer is partitioned as well, which nobody knows yet
    When 6 calls are asked one after the other
    Then all of them are served

  # Guards against calls being refused since the only peer that reaches the upstreams was asked for one that is gone.
  Scenario: an upstream that is gone is no reason to avoid the peer that says so
    Given its connections to upstreams reset
    And one plain upstream has crashed
    And only one peer reaches the upstreams
    When 6 calls are asked one after the other
    Then all of them are served

  Scenario: a peer that stops opens no tunnel
    Given its connections to upstreams reset
    And one peer is stopping
    When 6 calls are asked one after the other
    Then all of them are served
    And the stopping peer has opened no tunnel

  Scenario: sends are direct again within a second of the partition's end
    Given its connections to upstreams reset
    And a call has been served
    When the partition of the instance ends
    Then within 1 s its sends are direct
    When "/once/a" is asked as "r1"
    Then the answer is 200 "whole" with the upstream's seal
    And peers have opened 1 tunnels
    When it is partitioned again
    And "/once/a" is asked as "r2"
    Then the answer is 200 "whole" with the upstream's seal

  # Guards against sound upstreams being taken for crashed, and requests for poison, by a partitioned instance.
  Scenario Outline: a partition is no evidence against upstreams
    Given its connections to upstreams <fault>
    When a run at each upstream breaks off
    Then no upstream is found to have crashed
    And an upstream that has crashed while others are reachable still is

    Examples:
      | fault |
      | reset |
      | hang  |

  Scenario: what failed connections have said before the partition was known is taken back
    Given its connections to upstreams reset
    And a call has been served
    Then no upstream is ejected or assumed to be cold

  # Guards against connections to upstreams for anyone who is not an instance.
  Scenario Outline: a request for a tunnel is accepted from an instance alone, and once
    When a tunnel is requested <how>
    Then no connection to an upstream is opened

    Examples:
      | how                            |
      | with another key               |
      | for another instance           |
      | to an upstream that is unknown |
      | a second time, as recorded     |
      | by a caller's HTTP request     |
