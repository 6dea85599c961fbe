Feature: One instance orders the copies of streams off an engine that is leaving
  An engine gives 1.5 to 2.1 s of notice and has some seven streams, of which one takes 0.2 s to copy
  alone. Where each instance of a large fleet copies its own after a random delay, copies overlap on
  the engine's link and the engine ends before they are complete: in this simulation 2 or 3 of 7 were.

  Scenario Outline: nearly all streams are whole before the engine ends
    Given a large fleet with 7 streams of 7 instances on one engine, seed <seed>
    When the engine gives 1.6 s of notice
    Then at least 6 streams are whole when it ends
    And no two copies overlapped on its link
    And the counters tell of as many copies ordered and moved, and of no instance alone
    And each order and each end has one log line, with what decided and its age

    Examples:
      | seed |
      | 1    |
      | 2    |
      | 3    |

  # Guards against instances that start alone, or twice, because the notice reaches them late.
  Scenario: the notice reaches the instances at different times
    Given a large fleet with 7 streams of 7 instances on one engine, seed 4
    When the engine gives 1.6 s of notice, which reaches instances up to 0.4 s late
    Then at least 6 streams are whole when it ends
    And no two copies overlapped on its link

  Scenario: the placer starts before the instances with the streams have heard of the notice
    Given a large fleet with 7 streams of 7 instances on one engine, seed 5
    When the engine gives 1.6 s of notice, of which only the placer hears in the first second
    Then at least 6 streams are whole when it ends
    And 3 streams were whole before their instances heard of the notice
    And the instances pause their periodic copies from the first order on

  Scenario: the placer starts for a requester though it has not heard of the notice itself
    Given a large fleet with 7 streams of 7 instances on one engine, seed 6
    When the engine gives 1.6 s of notice, of which the placers do not hear
    Then at least 6 streams are whole when it ends
    And no two copies overlapped on its link

  # Guards against orders for engines without room, and against endless tries.
  Scenario: a target without room rejects, and another one is tried once
    Given a large fleet with 7 streams of 7 instances on one engine, seed 7
    And "engine-3" is the emptiest, and rejects all copies
    When the engine gives 1.6 s of notice
    Then the first stream was ordered to "engine-3", then to another, where it was whole
    And no other stream was ordered to "engine-3"
    And at least 6 streams are whole when it ends

  Scenario: a stream that two targets have rejected is left to its instance
    Given a large fleet with 7 streams of 7 instances on one engine, seed 28
    And all engines reject all copies
    When the engine gives 1.6 s of notice
    Then each stream was ordered to 2 targets
    And each instance went on alone 0.5 s after the last order

  Scenario: a target without room is not tried again for the same stream
    Given a large fleet with 7 streams of 7 instances on one engine, seed 19
    And only "engine-3" has room for one stream more, and rejects it
    When the engine gives 1.6 s of notice
    Then no stream was ordered there twice

  Scenario Outline: targets are engines of the same zone, and of another where that one has no room
    Given a large fleet with 7 streams of 7 instances on one engine, seed 20
    And the engines of its zone hold <held> tokens each, and those of the other zone 3000
    When the engine gives 1.6 s of notice
    Then all copies were ordered to engines of <zone>

    Examples:
      | held  | zone        |
      | 14000 | its zone    |
      | 26500 | the other   |

  Scenario: two engines leave at once
    Given a large fleet with 7 streams of 7 instances on one engine, seed 21
    And another engine with 5 streams leaves at the same time
    And "engine-3" is emptier than the others
    When the engine gives 1.6 s of notice, of which the placers do not hear
    Then at least 10 streams are whole when it ends
    And no stream is copied to a leaving engine, and the first two targets differ

  Scenario: the placer has a stream on the engine itself
    Given a large fleet with 7 streams of 7 instances on one engine, seed 22
    And the placer has a stream there itself
    When the engine gives 2.1 s of notice
    Then at least 8 streams are whole when it ends
    And no two copies overlapped on its link

  # Guards against instances that copy beside an ordered copy as the placer has no report of theirs.
  Scenario: an instance that the placer does not know waits for the others
    Given a large fleet with 7 streams of 7 instances on one engine, seed 23
    And the reports of "member-7" are lost from the start
    When the engine gives 5 s of notice, which reaches instances up to 0.4 s late
    Then at least 6 streams that the placer knows are whole when it ends
    And the instance that the placer does not know did not copy before the others were whole
    And it heard at once that orders are being given

  Scenario: a stream is not ordered again while reports still show it on the engine
    Given a large fleet with 7 streams of 7 instances on one engine, seed 24
    And no reports arrive from the notice on
    When the engine gives 2.1 s of notice
    Then at least 7 streams are whole when it ends
    And no stream was ordered there twice

  # Guards against a second copy beside a periodic one that the placer has not heard of.
  Scenario: a stream of which a periodic copy has just begun is finished at that copy
    Given a large fleet with 7 streams of 7 instances on one engine, seed 25
    And a periodic copy of the stream of "member-3" begins 0.001 s before the notice arrives
    When the engine gives 1.6 s of notice
    Then at least 6 streams are whole when it ends
    And the stream of "member-3" is whole and was copied to one engine only
    And no two copies overlapped on its link

  # Guards against streams that neither the placer nor their instance moves.
  Scenario: a stream of which the placer knows a periodic copy is finished by its own instance
    Given a large fleet with 7 streams of 7 instances on one engine, seed 25
    And a periodic copy of the stream of "member-3" begins 0.04 s before the notice arrives
    When the engine gives 1.6 s of notice
    Then at least 6 streams are whole when it ends
    And the stream of "member-3" is whole and was copied to one engine only

  Scenario: a lost order is repeated
    Given a large fleet with 7 streams of 7 instances on one engine, seed 8
    And the first message of each order is lost
    When the engine gives 2.1 s of notice
    Then at least 5 streams are whole when it ends

  Scenario: a lost report of a copy's end is repeated
    Given a large fleet with 7 streams of 7 instances on one engine, seed 26
    And the first report of each copy's end is lost
    When the engine gives 2.1 s of notice
    Then at least 6 streams are whole when it ends

  Scenario: the time of an order that never arrives passes, and the next one is ordered
    Given a large fleet with 7 streams of 7 instances on one engine, seed 9
    And all orders to "member-3" are lost
    When the engine gives 2.1 s of notice
    Then at least 6 streams are whole when it ends

  Scenario: the time of a copy whose end is not reported passes, and the next one is ordered
    Given a large fleet with 7 streams of 7 instances on one engine, seed 10
    And no end of a copy is reported by "member-2"
    When the engine gives 2.1 s of notice
    Then at least 6 streams are whole when it ends
    And each stream was moved at most once

  Scenario: the time of an instance that has failed passes, and its other streams come last
    Given a large fleet with 7 streams of 7 instances on one engine, seed 11
    And "member-4" fails just before the notice, with 3 streams more
    When the engine gives 2.1 s of notice
    Then the streams of all other instances are whole when it ends

  Scenario: no placer answers, and each instance goes on alone after 0.15 s
    Given a large fleet with 7 streams of 7 instances on one engine, seed 12
    And the placers have failed
    When the engine gives 3.5 s of notice
    Then no copy began earlier than 0.15 s after the notice was known, and each instance went on alone
    And at least 3 streams are whole when it ends

  Scenario: no placer is known, and runs with a replica still have their head start
    Given a large fleet with 7 streams of 7 instances on one engine, seed 29
    And no placer answers any instance
    When the engine gives 1.6 s of notice
    Then no copy began earlier than 0.1 s after the notice was known, and each instance went on alone

  Scenario: the placer fails midway, and each instance with a stream left goes on alone
    Given a large fleet with 7 streams of 7 instances on one engine, seed 13
    When the engine gives 5 s of notice, and the placers fail 0.5 s after it
    Then instances that still had a stream went on alone 0.5 s after their last order
    And at least 4 streams are whole when it ends

  Scenario: two instances order copies for a moment
    Given a large fleet with 7 streams of 7 instances on one engine, seed 14
    And half of the instances take the second placer for the first
    When the engine gives 2.1 s of notice
    Then both have ordered copies
    And no stream was copied twice at once
    And each stream was moved at most once
    And at least 5 streams are whole when it ends

  # Guards against streams that were granted the engine just before its notice and are overlooked.
  Scenario: a stream whose first event comes after the notice is copied too
    Given a large fleet with 7 streams of 7 instances on one engine, seed 15
    And the stream of "member-5" produces its first event 0.9 s after the notice
    When the engine gives 2.0 s of notice
    Then the stream of "member-5" is whole when it ends
    And no two copies overlapped on its link

  Scenario: all streams produce their first event after the notice, and no instance goes on alone
    Given a large fleet with 7 streams of 7 instances on one engine, seed 16
    And all streams produce their first event 0.6 s after the notice
    When the engine gives 2.1 s of notice
    Then at least 5 streams are whole when it ends
    And the counters tell of as many copies ordered and moved, and of no instance alone

  Scenario: a stream with a replica is finished first by its own instance
    Given a large fleet with 7 streams of 7 instances on one engine, seed 17
    And the stream of "member-6" has a replica that lacks 100 tokens
    When the engine gives 1.6 s of notice
    Then the stream of "member-6" is whole first, and its copy was not ordered
    And no two copies overlapped on its link

  Scenario: an instance performs an ordered copy, and the stream continues at its target
    Given a gateway before two plain upstreams and three engines
    And stream "s1" waits after event 2 and has no backup
    And the copies off its engine are ordered by another instance
    When its engine gives notice, and the copy of "s1" is ordered at once and again
    Then all 5 events of "s1" came once, in order, and the end
    And "s1" went on from its moved memory after event 2
    And the placer was told once that "s1" moved, to the engine that it named

  Scenario Outline: elsewhere each instance evacuates as before
    Given a large fleet with 7 streams of 7 instances on one engine, seed 18
    And <case>
    When the engine gives 1.6 s of notice
    Then no message about its evacuation was sent

    Examples:
      | case                                        |
      | the fleet counts as a small one             |
      | the service has no queue for engine memory  |

  # Guards against memory that the queue grants while a copy is made into it.
  Scenario: the queue grants no memory into which a copy is being made
    Given a large fleet with 7 streams of 7 instances on one engine, seed 27
    And only "engine-3" has room for one stream more, and takes it
    Then the queue grants that room to nobody while the copy is made, and again once it has failed

  Scenario: the memory of a copy counts in the ledger while it is made, and once
    Given a ledger that knows a stream of 3400 tokens on "engine-0"
    When its copy to "engine-1" is ordered
    Then 3400 tokens count on "engine-1"
    When its instance reports the copy to "engine-1"
    Then 3400 tokens count on "engine-1"
    When it is reported to run on "engine-1"
    Then 3400 tokens count on "engine-1"
    When its copy to "engine-2" is ordered
    Then 3400 tokens count on "engine-2"
    And none count on "engine-2" once the copy has ended, or its time has passed

  Scenario: streams are copied by their value for the copy time, of those that can be completed
    Then with 1.0 s left a stream of rank 0 comes before one of rank 5
    And with 1.0 s left a stream that runs 4 s more comes before one that ends in 0.6 s
    And with 1.0 s left a copy of 0.2 s in the zone comes before one of 0.4 s to another zone
    And with 0.3 s left a copy of 0.2 s comes before a more valuable one of 0.4 s
    And with 0.1 s left the shortest copy comes first, whatever its value
    And with 1.0 s left a stream of an instance that let an order time out comes last
    And a stream with a replica, without an event, or that ends before its copy would is left out

  # Guards against a record of each engine that has ever left, at an instance that requests no orders.
  Scenario: an instance forgets the orders for engines that have left long ago
    Then an instance that receives a sign for another engine each 20 s remembers one of them
