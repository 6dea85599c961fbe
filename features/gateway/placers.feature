Feature: Streams of a large fleet are placed by one instance for all
  Instances that receive one request a second each would otherwise place streams by loads that are
  half a second old.

  Scenario: streams that are placed at the same moment spread over the engines of the zone
    Given an instance that places for its zone, with 5 engines there and 5 in another
    When 5 instances ask it for a place at once
    Then each engine of the zone was given 1 stream
    When 20 more instances ask it for a place at once
    Then no engine of either zone was given more than 4 streams

  Scenario: an engine that turned a request away is not given again
    Given an instance that places for its zone, with 5 engines there and 5 in another
    When an instance asks again for a request that 4 engines have turned away
    Then the fifth one was given

  Scenario: a choice counts until its instance reports, and once
    Given an instance that places for its zone, with 5 engines there and 5 in another
    When an instance was given a place for 3000 tokens
    Then these count on the engine given, for other zones too, but not as its own
    When that instance reports that it runs them
    Then these count on the engine given, for other zones too, but not as its own

  Scenario: a choice that nobody reports is forgotten
    Given an instance that places for its zone, with 5 engines there and 5 in another
    When an instance was given a place for 3000 tokens
    Then nothing of it is left after 1.1 s

  Scenario: a copy is kept on another engine of the zone
    Given an instance that places for its zone, with 5 engines there and 5 in another
    When 5 instances ask it for a place with a copy at once
    Then each copy is kept on another engine of the zone than its stream's

  Scenario: a choice without room is only remembered if it is taken anyway
    Given an instance that places for its zone, with 5 engines there and 5 in another
    And all engines are full
    When an instance asks it for a place at once
    Then it is told that there is no room, and nothing counts
    When an instance asks it for a place that it takes anyway
    Then it is told that there is no room, and the place counts

  Scenario: who gives no answer is left out for a while
    Given two instances that place for a zone, of which the first is silent
    Then the first is asked, then the second for 1 s, then the first again
    And it is left out for longer each time that it is silent again, up to 8 s, and not for ever

  Scenario: an instance that nobody answers places by itself
    Given a gateway before two plain upstreams and three engines
    And its zone's placer gives no answer
    When stream "s1" is asked
    Then all 5 events of "s1" came once, in order, and the end
    And the placer was asked once

  Scenario: a place on an engine that has left meanwhile is not taken
    Given a gateway before two plain upstreams and three engines
    And its zone's placer gives an engine that is leaving
    When stream "s1" is asked
    Then all 5 events of "s1" came once, in order, and the end
    And "s1" did not run on the engine that is leaving

  Scenario: of very many engines some are compared, others each time
    Given an instance that places for its zone, with 5 engines there and 5 in another
    And 2600 engines more
    Then 20 questions are answered with at least 15 engines, each from 64 that were compared

  Scenario: all instances ask the same ones
    Given 78 instances in 3 zones, of which a third have links of 100 Mbit/s and the others of 5
    Then all instances know the same three placers in the same order, one of each zone
    And a small fleet has none

  Scenario: prompts do not meet on one engine
    Then of a model's streams under 1 in 100 start late with one placer for all, and over 4 without
