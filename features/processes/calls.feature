@processes
Feature: Calls that may not be repeated, on real processes

  Scenario: a claimed call whose answer is lost never runs again
    When a call with key "lost-1" is made while the answer is lost
    Then the answer is 502 and says "unknown"
    When a call with key "lost-1" is made
    Then the answer is 409 and says "unknown"
    And call "lost-1" has run 1 times

  # Guards against half of an answer that a claim records, and repeats, as the whole one.
  Scenario: a claimed call whose unframed answer is truncated is not answered with the part
    When a call with key "truncated-1" is made while unframed answers are truncated
    Then the answer is 502 and says "unknown"
    When a call with key "truncated-1" is made
    Then the answer is 409 and says "unknown"
    And call "truncated-1" has run 1 times

  Scenario: a repeated key gets the recorded outcome
    When a call with key "twice-1" is made
    And a call with key "twice-1" is made
    Then the answer is 200 and says "twice-1"
    And call "twice-1" has run 1 times

  Scenario Outline: without a key a <method> is sent once, though the method could be repeated
    When a <method> marked as not repeatable is made as "bare-<method>" while the answer is lost
    Then the answer is 502 and says "unknown"
    And call "bare-<method>" has run 1 times

    Examples:
      | method |
      | POST |
      | PUT |
      | DELETE |

  Scenario: claims outlive every instance
    When a call with key "outlive-1" is made
    And the outcome of "outlive-1" is stored
    And all instances are killed and replaced
    And a call with key "outlive-1" is made
    Then the answer is 200 and says "outlive-1"
    And call "outlive-1" has run 1 times

  Scenario: a write whose answer is lost
    When the platform is told "lose one answer"
    And a call with key "unsure-1" is made
    Then the answer is 200 and says "unsure-1"
    And call "unsure-1" has run 1 times

  Scenario: the platform is down
    When the platform is told "down"
    And a call with key "down-1" is made
    Then the answer is 503 and says "not run"
    And call "down-1" has run 0 times
    When the platform is told "up"
    And a call with key "down-1" is made
    Then the answer is 200 and says "down-1"
    And call "down-1" has run 1 times
