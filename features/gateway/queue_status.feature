Feature: What operators see of the queue for engine memory
  The lines that the queue logs tell one request's story, and the metrics listener shows who waits.

  Scenario: a request that waited, and on which forecast
    Given the holder of the queue of 2 engines, whose memory is full for 4 s
    And 2 requests of rank 0 and 3 of rank 1 wait there
    When "r1" of rank 0 asks for memory
    And after 0.4 s the memory of "e2" is released
    Then explaining "r1" tells "2 requests were before it" and "granted on e2 by instance-0 after 0.4"
    And it tells a forecast of 3 to 5 s
    And no line tells a forecast that was not made yet

  Scenario: a request that was refused is told why and when to return
    Given the holder of the queue of 2 engines, whose memory is full for 4 s
    When "r1" of rank 1 asks for memory and can wait for 1 s
    Then explaining "r1" tells "refused by instance-0" and "its caller gives up in 1.000 s"
    And it tells the time to return that the caller got

  Scenario: a placer that gives no answer is part of the story
    Given the holder of the queue of 2 engines, which are idle
    And a placer "instance-7" before it that gives no answer
    When "r1" of rank 0 asks for memory
    Then explaining "r1" tells "no answer from instance-7 in time, asked instance-0" and "granted on e"

  Scenario: a request without a line about engine memory has no such part
    Given logs of two instances that name request "r1"
    Then explaining "r1" tells nothing of engine memory

  Scenario: the queue as its holder knows it
    Given the holder of the queue of 2 engines, whose memory is full for 4 s
    And 2 requests of rank 0 and 3 of rank 1 wait there
    Then its page shows 2 waiting of rank 0, 3 of rank 1, and no free memory of 69090 tokens
    And it forecasts that a new request waits 3 to 5 s
    And "driftstall status queue" shows the same as a table and as JSON

  Scenario: nobody waits while memory is free
    Given the holder of the queue of 2 engines, which are idle
    Then its page shows nobody waiting, 69090 free tokens and no wait for a new request

  Scenario: an instance that does not hold the queue names the one that does
    Given the holder of the queue of 2 engines, which are idle
    And a placer "instance-7" before it that gives no answer
    Then its page names "instance-7" and no service
    And "driftstall status queue" tells to ask "instance-7"

  Scenario: the rank in the queue is told by the store's command
    Given the store's stand-in with a policy that has a queue rank
    Then "driftstall policy explain" on the store shows queue_rank 1, rank 4 and share 3

  Scenario: the own interface tells the rank that a rule leaves to the default
    Then "driftstall policy explain" at an instance shows queue_rank 4 for a rule with rank 4 alone
