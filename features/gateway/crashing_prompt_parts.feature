Feature: A prompt part that crashes each engine is not sent on for ever
  Guards against a prompt part that crashes one engine after the other, in requests of which no two
  are alike. Ten engines ended under ten summaries of one caller within 31 s, and sends went on:
  each crash was held against a fingerprint of its own.

  Background:
    Given the store's stand-in with a routing configuration

  # The evidence was kept under the identity of a whole request, so no count ever passed one.
  Scenario Outline: a part that has crashed engines is sent on no more, and its neighbours are served
    Given 4 engines that end by <end> under the prompt part "dead", with <responses> responses
    And 3 gateway processes that know each other
    When callers send sound prompts "<sound>" while others send fatal ones "<fatal>" for 9 s
    Then at most 5 engines have crashed
    And at most 3 sends of fatal prompts reach engines later than 3 s after the fifth crash
    And sound prompts are served 0.95 as often from 3 s after the first fatal one as before

    Examples:
      | end             | responses | sound            | fatal                |
      | reset           | framed    | f1,a1,own        | f1,dead,a1,own       |
      | reset           | unframed  | f1,a1,own        | dead,f1,own          |
      | half an event   | unframed  | f1,own f1,a1,own | f1,dead,own a1,dead,own |

  # A rare part stands in as many crashes as the fatal one beside it.
  Scenario: two fatal parts at once, each beside a part that few sound prompts have
    Given 4 engines that end by reset under the prompt parts "dead" and "beef", with framed responses
    And 3 gateway processes that know each other
    When callers send sound prompts "f1,own" while others send fatal ones "f1,dead,c3,own f1,c4,beef,own" for 9 s
    Then at most 10 engines have crashed
    And at most 3 sends of fatal prompts reach engines later than 3 s after the fifth crash of each part
    And prompts "f1,c3,own" and "f1,c4,own" are served at the first attempt

  # Evidence was lost with the processes.
  Scenario: a part is refused after an instance and then all instances were killed
    Given 4 engines that end by reset under the prompt part "dead", with framed responses
    And 3 gateway processes that know each other
    And prompts "f1,dead,own" are sent until all instances refuse them
    When the first instance is killed and starts anew
    Then within 3 s of being ready it refuses prompts "f1,dead,own", and sends them to no engine
    When all instances are killed at once and start anew
    Then within 3 s of being ready they refuse prompts "f1,dead,own", and send them to no engine

  # The store is away for as long as the evidence is collected.
  Scenario: a fleet without the platform refuses the part too
    Given 7 engines that end by reset under the prompt part "dead", with framed responses
    And 3 gateway processes that know each other
    And the store is away
    When callers send sound prompts "f1,own" while others send fatal ones "f1,dead,own" for 6 s
    Then at most 5 engines have crashed
