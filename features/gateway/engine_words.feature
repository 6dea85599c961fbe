Feature: What engines say of themselves
  While the platform is unavailable or behind, its list shows engines as ready that have left.
  Instances then probe the engines themselves.

  Scenario: an engine that says when it ends takes nothing new, whatever an old list says
    Given a fleet of 3 upstreams
    When "u1" says itself that it leaves
    Then it is told once that "u1" is leaving
    And "u1" takes no requests
    When the platform lists "u1" as ready, with a newer revision
    Then "u1" takes no requests
    And after 4 s of silence "u1" takes requests again

  Scenario: what the platform says of an engine that was doubted holds for good
    Given a fleet of 3 upstreams
    When "u1" says itself that it leaves
    And upstream "u1" gives notice twice
    Then it is told once that "u1" is leaving
    And after 4 s of silence "u1" takes no requests

  Scenario: a doubt is no difference between lists
    Given a fleet of 3 upstreams
    Then another fleet that learned of them in another order has the same digest
    When "u1" says itself that it leaves
    Then another fleet that learned of them in another order has the same digest

  Scenario: few instances ask each engine, near ones first
    Given 78 instances in 3 zones, of which a third have links of 100 Mbit/s and the others of 5
    Then each of 30 engines is asked by 2 instances of its zone, whoever is asked about it
    And each of 30 engines of a zone without instances is asked by 2 all the same
    And no instance asks more than 6 of 30 engines

  Scenario: a stream moves off an engine that says itself when it ends
    Given a gateway before two plain upstreams and three engines
    And stream "s1" waits after event 3 and has no backup
    When its engine says that it ends soon, and engines are asked
    And its run there was stopped
    Then all 5 events of "s1" came once, in order, and the end

  Scenario: an engine that only waits for the platform to take its notice is used on
    Given a gateway before two plain upstreams and three engines
    When an engine says that it drains, and engines are asked
    Then all three engines take requests

  Scenario: no copy is kept at an engine that has ended unseen
    Given a gateway before two plain upstreams and three engines
    When two engines have ended, and engines are asked
    Then streams are placed on the third one, without a copy

  Scenario: the engine of a stream that breaks off is asked at once
    Given a gateway before two plain upstreams and three engines
    And engines are asked where a stream breaks off
    And the engine of "s1" will break off after 3 events, and all others are gone by then
    When stream "s1" is asked
    Then its engine takes no requests

  Scenario: one question without an answer is cause enough to ask engines
    Given an instance of a small fleet whose feeds are answered
    Then it asks no engines, and would share the questions with all that live
    When its newest question for routes gets no answer
    Then it asks engines by itself, though its list of upstreams is not lost yet
    When a peer says that the platform does not answer it either
    Then the two share the questions
    When its question for routes is answered again
    Then it asks no engines, and would share the questions with all that live

  Scenario: who follows the platform for a large fleet asks engines after one question without an answer
    Given an instance that follows the platform for a large fleet, and whose feeds are answered
    Then it asks no engines
    When its newest question for routes gets no answer
    Then it asks engines at once, though the fleet still relies on what it told
    And it asks all of them by itself
    When the fleet would have noticed by itself, and still relies on another follower
    Then it asks no engines

  Scenario: the idle questions of instances that were answered at one moment end at many
    Given 6 instances of a small fleet that follow two feeds each
    When all their questions begin at one moment, 100 times
    Then the first of them ends after 1.0 s on average, and none later than after 1.6 s
    But a collector of a large fleet waits for 0.8 s each time

  Scenario: an engine that refuses a copy is asked for its own word
    Given a gateway before two plain upstreams and three engines
    And engines are asked where a stream breaks off
    And stream "s1" waits after event 3 and has no backup
    When its engine takes no copy to an engine that says that it ends soon
    Then the engine that refused takes no requests

  Scenario: real processes learn during an outage of the platform that an engine leaves
    Given the store's stand-in with a routing configuration and 2 upstreams
    And two engines in the store
    And 2 gateway processes
    Then both become ready and each is located with the other
    When the store is down, and the first engine says that it ends soon
    Then both know that it leaves
    And 6 streams of each run on the other engine
