Feature: A request that crashes each engine that runs it is not sent on for ever
  Guards against a request that crashes one engine after the other. Its caller sent it seven times
  within 13 s, each time under a new id, at five of eight instances. Each attempt was sent to an
  engine, which crashed 0.15 to 0.24 s later with everything that ran there.

  Each instance treated each attempt as a new request, since crashes were attributed to the engine
  alone and no record of a request outlived it or was shared with other instances.

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
