Feature: An upstream that has started again is another one
  A process may restart under the same name. It has lost all state, while late heartbeats and reports
  as well as peers' updates still refer to its previous start.

  Scenario: the later start holds, in whatever order words come
    Then no drawn order of true words about starts lets an older start return, from seed 32

  Scenario: the drawn orders see a fleet that does not compare starts
    Then with starts that are not compared some drawn order lets an older start return, from seed 32

  Scenario: a start is another one also where the entry of the one before had lapsed
    Given a fleet that knows of the start at 1000 of "u1", whose entry then lapses
    When "u1" is listed with the start at 2000
    Then the start at 1000 is replaced, and may be sent nothing even within the time to drain

  Scenario: what was learned of the start before does not count for the later one
    Given a gateway with an engine that was started at 1000, and a stream of 8 events there
    When the engine is known to have started again at 2000
    Then nothing runs on the later start, it does not rest, and sums of the older one do not count

  Scenario: a stream goes on at its copy when its engine has started again behind a cut
    Given a gateway with an engine that was started at 1000, and a stream of 8 events there
    And the copy of the stream is kept up at another engine
    When the engine is known to have started again at 2000
    Then the caller gets all 8 events from two engines, and the later start got nothing

  Scenario: a stream does not go on at a copy that died with its engine
    Given a gateway with an engine that was started at 1000, and a stream of 8 events there
    And the copy of the stream is kept up at another engine
    When the engine of the copy is known to have started again, and that of the stream breaks off
    Then the stream is broken off, and nothing was sent to the engine of the copy

  Scenario: the name of a copy is void once the engine that gave it has started again
    Given a gateway with an engine that was started at 1000, and a stream of 8 events there
    And a copy of the stream that its engine has named
    When the engine is known to have started again at 2000
    Then the stream is broken off, and nothing was sent to the engine of the copy

  Scenario: a call that got no answer before the new start is not repeated
    Given a gateway whose plain upstream that gets a call is silent
    When that upstream is known to have started again
    Then the call is answered 502 at once, and no other upstream has run it

  Scenario: an engine's own report tells of its later start
    Given an engine that was started at 1000 and reports that it was started at 2000
    Then its word is that the start that was asked for is gone
