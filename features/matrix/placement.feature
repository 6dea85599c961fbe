# The rows are the FAULTS of features/worlds; features/matrix/lists.feature checks them.
Feature: Fault matrix of the placement path
  A stale lease holder does no harm, at engines that check fences and at one that does not.

  Scenario Outline: placement, <fault>
    Given the placement path
    When "<fault>" strikes at every step, alone, twice and beside other faults
    Then every promise of the path has held

    Examples:
      | fault |
      | holder paused |
      | holder dies |
      | platform down |
      | answer lost |
      | order late |
      | two first |
