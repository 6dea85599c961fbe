Feature: The own interface's configuration holds when the store comes back from an older copy

  Background:
    Given 3 instances with 1 engines and 1 portals of their own

  Scenario: an accepted policy that the copy lacks is stored again, and further changes rest on it
    When the store takes a copy, and policy "later" is accepted after it
    And the store comes back from the copy
    Then within 5 s the store holds policy "later" again, once
    And a change of the workspaces alone keeps policy "later" in force everywhere

  Scenario: a change that comes before the store was written again rests on what was accepted
    When the store takes a copy, and policy "later" is accepted after it
    And the store comes back from the copy, and the workspaces are changed at once
    Then a change of the workspaces alone keeps policy "later" in force everywhere
