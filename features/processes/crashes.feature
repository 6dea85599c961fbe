Feature: The product's own interface sends on no more what crashes its runners

  Background:
    Given 3 instances with 6 engines and 6 portals of their own

  Scenario: a generation that crashes engines
    When the same fatal prompt is asked 6 times, at the instances by turns
    Then at most 3 engines have ended
    And the last of its answers says "not run" and when to come back
    And another prompt is answered whole

  # Evidence was kept under whole prompts, so a message in prompts of which no two are alike went on.
  Scenario: a message that crashes engines, in prompts of which no two are alike
    When prompts with the same fatal message are asked 6 times, at the instances by turns
    Then at most 3 engines have ended
    And the last of its answers says "not run" and when to come back
    And prompts with their other messages are answered whole

  Scenario: a call that crashes services
    When the same fatal call is made 6 times, at the instances by turns
    Then at most 3 portals have ended
    And the last of its answers says "not run" and when to come back

  Scenario: an operator finds what is refused and clears it
    When the same fatal prompt is asked 6 times, at the instances by turns
    Then the first instance names one request that is refused, with the engines that have ended
    When the operator clears it there
    Then no instance names one
