Feature: Generations wait for engine memory in one queue of the fleet
  The placer grants memory by the reports of all instances. Messages are lost, placers and instances
  end, engines leave and callers disconnect; each scenario guards against one of these failures.

  Scenario: a question is lost
    Given two placers and a member, and an engine for one generation
    And the first question to the first placer is lost
    When the member asks for memory for "r1"
    Then "r1" is granted the engine once

  Scenario: an answer is lost
    Given two placers and a member, and an engine for one generation
    And a generation of another instance holds the engine
    When the member asks for memory for "r1"
    And the generation of the other instance ends, and the next answer is lost
    Then "r1" is granted the engine once
    And the first placer has sent the same grant twice, and counts it once

  Scenario: the placer is silent
    Given two placers and a member, and an engine for one generation
    And the first placer receives nothing
    When the member asks for memory for "r1"
    Then "r1" is granted the engine by the second placer
    And a later question goes to the second placer at once

  Scenario: the placer is gone, and another one rebuilds the queue
    Given two placers and a member, and an engine for one generation
    And a generation of another instance holds the engine
    When the member asks for memory for two requests, "r1" and "r2"
    And the first placer ends
    Then "r1" and "r2" wait at the second placer
    When the generation of the other instance ends
    Then "r1" is granted the engine by the second placer
    And "r2" waits on, as the engine is full

  Scenario: two placers for a moment
    Given two placers and a member, and an engine for one generation
    And the answers of the first placer are late
    When the member asks for memory for "r1"
    Then "r1" is granted the engine once
    And once the late grant has arrived, the first placer counts nothing

  Scenario: a placer that was asked before does not keep the request
    Given two placers and a member, and an engine for one generation
    And a generation of another instance holds the engine
    And the answers of the first placer are late
    When the member asks for memory for "r1"
    And the generation of the other instance ends
    Then "r1" is granted the engine by the second placer
    And nothing waits at the first placer

  Scenario: an instance is gone
    Given two placers and a member, and an engine for one generation
    And a generation of another instance holds the engine
    And that instance asks for memory for "other"
    When the clock advances by 1.3 s
    Then nothing waits at the first placer
    When the clock advances by 1.8 s
    Then the engine is free at both placers

  Scenario: runs of an instance that has gone do not count where nothing waits
    Given two placers and a member, and an engine for one generation
    And a generation of another instance holds the engine
    When the clock advances by 3.1 s, without a pass
    And the member asks for memory for "r1"
    Then "r1" is granted the engine by the first placer at once

  Scenario: a placer without reports does not take its ledger for complete
    Given two placers and a member, and an engine for one generation
    And the reports of all instances ended 60 s ago, but the sums show the engine full
    When the member asks for memory for "r1"
    Then "r1" waits at the first placer

  Scenario: the caller disconnects while its request waits
    Given two placers and a member, and an engine for one generation
    And questions are repeated after a minute only
    And a generation of another instance holds the engine
    When the member asks for memory for "r1"
    And the caller of "r1" disconnects
    Then the placer is told before the question is repeated, and nothing waits there
    When the generation of the other instance ends
    Then the engine is free at the first placer

  Scenario: a grant for a request that has left is released
    Given two placers and a member, and an engine for one generation
    When the first placer grants "gone" to the member, whose request has left
    Then the engine is free at the first placer

  Scenario: a request id that is used again waits anew
    Given two placers and a member, and an engine for one generation
    When "r1" has run and ended, and is sent again while the engine is full
    Then "r1" waits at the first placer

  Scenario: two callers use the same request id at once
    Given two placers and a member, and an engine for one generation
    And a generation of another instance holds the engine
    When the member asks for memory for "r1" of two callers
    Then both wait at the first placer, and both ask again there
    When the generation of the other instance ends
    Then one of the two is granted the engine, and the other one waits

  Scenario: a placer without the service's configuration
    Given two placers and a member, and an engine for one generation
    And the first placer has no configuration
    When the member asks for memory for "r1"
    Then "r1" is granted the engine by the second placer

  Scenario: a prompt larger than the fill limit starts on an idle engine
    Given two placers and a member, and an engine for one generation
    When the member asks for memory for a prompt of 9800 tokens, "large"
    Then "large" is granted the engine once

  Scenario: an ejected engine is not chosen because the healthy ones are full
    Given two placers and a member, and an engine for one generation
    And a generation of another instance holds the engine
    And another engine is idle but ejected
    When the member asks for memory for "r1"
    Then "r1" waits at the first placer

  Scenario: no placer is left
    Given two placers and a member, and an engine for one generation
    And no placer receives anything
    When the member asks for memory for "r1"
    Then "r1" is granted nothing, and the member chooses by itself

  Scenario: the last run has ended
    Given two placers and a member, and an engine for one generation
    When a run of the member has started and ended
    Then both placers are told that nothing runs

  Scenario: each decision is logged with its inputs
    Given two placers and a member, and an engine for one generation
    And a generation of another instance holds the engine
    When the member asks for memory for "r1"
    And the clock advances by 0.2 s
    And the generation of the other instance ends
    Then the log line of "r1" has its wait, its forecast and the age of the oldest report

  Scenario: a stream is placed by itself where no placer answers
    Given a gateway before two plain upstreams and three engines, whose streams wait in a queue
    And the gateway's fleet is large and has no placer
    When stream "s1" is asked
    Then all 5 events of "s1" came once, in order, and the end

  Scenario: a small fleet
    Given a gateway before two plain upstreams and three engines, whose streams wait in a queue
    And each engine has memory for 2 streams
    When 8 streams are asked, and 6 of them run
    Then 2 wait in the instance's own queue until a stream ends

  Scenario: a service that does not call for a queue
    Given a gateway before two plain upstreams and three engines
    And the fleet's queue must not be asked
    When stream "s1" is asked
    Then all 5 events of "s1" came once, in order, and the end

  Scenario: a granted engine has left
    Given a gateway before two plain upstreams and three engines, whose streams wait in a queue
    And the placer grants an engine that has left, and then another one
    When stream "s1" is asked
    Then all 5 events of "s1" came once, in order, and the end
    And the first grant was given back, and the engine that has left was not to be granted again

  Scenario: a request is refused
    Given a gateway before two plain upstreams and three engines, whose streams wait in a queue
    And the placer refuses for 2.5 s
    When stream "s1" is asked
    Then it is refused with 503, to come back after 2.5 s, and was not run
    And no engine was sent "s1"

  Scenario: a request whose wait has ended is not sent to a full engine
    Given a gateway before two plain upstreams and three engines, whose streams wait in a queue
    And the placer answers nothing until the caller would give up
    When stream "s1" is asked
    Then it is refused with 503 and was not run
    And no engine was sent "s1"

  Scenario: streams are queued where short ones are ranked before long ones
    Then a service is queued only if it has an engine and its urgent streams have shorter timeouts

  Scenario: the queue clause of the policy
    Given a policy with "rank 2; queue 0;" and one with "rank 2;"
    Then requests wait at rank 0 by the first and at rank 2 by the second, and run at rank 2
