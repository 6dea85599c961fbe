Feature: The store comes back from an older copy, and what was acknowledged holds
  The store is unavailable for a moment and is restored from a backup some seconds old. Later writes
  are lost, and their revisions are reused. Operators and upstreams write their objects again;
  instances must restore what they wrote. Each answer of the store contains its era.

  Background:
    Given a store that can come back from a copy, with 4 upstreams and 4 gateway processes

  Scenario: what is written after the return is in force as on a calm day
    Given 20 changes were made after the copy, a policy and an upstream's among them
    When the store comes back from the copy after 0.5 s away
    Then a policy that is submitted then is in force at all instances within 3 s
    And a configuration that is written then is in force at all instances within 3 s
    And an upstream that is listed then takes requests at all instances within 3 s
    And an upstream that is removed then gets nothing from 3 s after that

  Scenario: what is written at once after the return is in force, though its revisions were seen
    Given 20 changes were made after the copy, a policy and an upstream's among them
    When the store comes back from the copy after 0 s away, and 60 changes are made at once
    Then an upstream that was listed at once takes requests at all instances within 3 s
    And a policy that is submitted then is in force at all instances within 3 s
    And an upstream that is removed then gets nothing from 3 s after that

  Scenario: what left before the return is not revived by the copy
    Given an upstream was removed after the copy
    When the store comes back from the copy after 0 s away
    And it is removed again 1.5 s later
    Then it gets nothing from now on

  Scenario: what joined after the copy goes on to be used until it is listed again
    Given an upstream was listed after the copy
    When the store comes back from the copy after 0 s away
    And it is listed again 1.5 s later
    Then all instances went on to use it

  Scenario: what instances wrote is written again, once and not all at the same time
    Given all 4 instances were listed, and a policy submitted, after the copy
    When the store comes back from the copy after 0.5 s away
    Then the store lists 4 instances within 8 s
    And it holds that policy within 8 s
    And that policy is in force at all instances
    And at most 20 writes were made meanwhile
