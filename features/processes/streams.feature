@processes
Feature: Streams on real processes
  Tokens once, in order, from one generation, whatever dies or hangs.

  Scenario Outline: an engine is told to <fault>
    When an engine is told to "<fault>"
    And 3 long answers are being streamed
    Then all answers arrive whole, once, in order, each from one generation
    When an engine is told to "behave"

    Examples:
      | fault |
      | cut streams |
      | send twice |
      | lose tokens |
      | refuse |

  Scenario: engines hang in the middle
    Given 3 long answers are being streamed
    When an engine is told to "hang"
    Then all answers arrive whole, once, in order, each from one generation

  Scenario: an engine freezes but still answers
    When the first engine freezes but still answers, and 6 callers ask
    Then all answers arrive whole, once, in order, each from one generation
    And the frozen engine was asked, and is let go on

  Scenario: a caller vanishes
    When a caller asks and vanishes
    Then the engines are soon free again

  Scenario: the entry dies in the middle
    Given 3 long answers are being streamed
    When the instance that streams is killed
    Then all answers arrive whole, once, in order, each from one generation

  Scenario: what the instances recorded replays to the same grants
    Then every recorded trace replays without a difference

  Scenario: the owner is paused and wakes
    Given 2 long answers are being streamed
    When the owner of the engines is paused for a while
    And 3 long answers are being streamed
    Then all answers arrive whole, once, in order, each from one generation
