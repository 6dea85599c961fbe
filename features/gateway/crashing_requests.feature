Feature: A request that crashes each engine that runs it is not sent on for ever
  What was seen: a summary came seven times within 13 s, under a new id each time and at five of
  eight instances. Each time it was sent to an engine, and each engine was gone 0.15 to 0.24 s later
  with all that ran there.

  How it came about: its caller asked again after each failure. Each instance took each attempt for a
  new request, also one that had seen the same request crash an engine seconds before.

  Cause: what a request does to upstreams was kept for no longer than the request, and by nobody else.
  Class: a failure is put down to where it shows (the engine), never to what was running there.

  Proof: the log of the recorded day, where each send is the only one of its request; real instances
  do the same here.

  Background:
    Given the store's stand-in with a routing configuration and 4 engines that some requests crash
    And 3 gateway processes that know each other

  Scenario: a request that has crashed three engines is sent on no more once all can know of it
    When a caller asks for "/stream/fatal" again and again at all instances by turns for 12 s
    Then at most 3 sends of it reach engines later than 3 s after the third crash
    And each answer without a run says so and tells when to come back

  Scenario: ordinary streams that are alike are served beside it
    When 8 callers ask for "/stream/same" while one asks for "/stream/fatal" for 8 s
    Then no answer to "/stream/same" refuses it, and at least 85 in 100 are whole
    And at most 3 engines have crashed

  Scenario: an instance that was killed and starts anew refuses it too
    Given "/stream/fatal" was asked for until all refuse it
    When the first instance is killed and starts anew
    Then within 3 s of being ready it refuses "/stream/fatal", and sends it to no engine

  Scenario: it is refused also after all instances have ended at once
    Given "/stream/fatal" was asked for until all refuse it
    When all instances are killed at once and start anew
    Then within 3 s of being ready they refuse "/stream/fatal", and send it to no engine

  Scenario: a fleet without the platform refuses it too
    Given the store is away
    When a caller asks for "/stream/fatal" again and again at all instances by turns for 6 s
    Then at most 3 engines have crashed
