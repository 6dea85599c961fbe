Feature: Memory of unfinished responses

  # Guards against many responses that are each within their limit and exceed the memory together.
  Scenario: unfinished responses hold no more than their limit together, whatever their sizes
    When responses of drawn sizes grow and end in a drawn order
    Then they never hold more than the limit, and only the largest ones were ended

  # Guards against ended responses that keep their memory until their readers run, and against parts
  # that are relayed after others were dropped.
  Scenario: a response that is ended for want of memory is freed at once
    Given two responses whose bodies are held
    When both together exceed the memory for responses
    Then the larger one is freed before its reader runs
    And its reader gets an error in place of its end

  # Guards against a stream that goes on after some of its bytes were dropped.
  Scenario: a stream that is ended for want of memory between two pieces gives no further event
    Given a gateway whose streams are ended for want of memory after a piece of many events
    When a stream of many events is read
    Then its caller has got its first events unchanged, and no end
