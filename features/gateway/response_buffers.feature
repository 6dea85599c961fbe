Feature: Memory of unfinished responses

  # Guards against many responses that are each within their limit and exceed the memory together.
  Scenario: unfinished responses hold no more than their limit together, whatever their sizes
    When responses of drawn sizes grow and end in a drawn order
    Then they never hold more than the limit, and only the largest ones were ended
