@processes
Feature: Leaving and stopping on real processes

  Scenario: a runner leaves by its own word
    When runner "engine-1" says that it is leaving
    Then within 3 s all instances give "engine-1" no new work
    And runner "engine-1" gets work again once it is back

  Scenario: a runner leaves by the platform's list
    When the platform lists runner "engine-2" as leaving
    Then within 3 s all instances give "engine-2" no new work
    And runner "engine-2" gets work again once it is back

  Scenario: a planned stop of every instance in turn cuts off nothing
    Given 2 long answers are being streamed
    When every instance in turn is stopped as planned and replaced
    Then all answers arrive whole, once, in order, each from one generation
