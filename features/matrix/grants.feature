# The rows are the FAULTS of features/worlds; features/matrix/lists.feature checks them.
Feature: Fault matrix of the grants path
  Leaving runners get no work, every request for a grant is answered in time, and no grant stays open.

  Scenario Outline: grants, <fault>
    Given the grants path
    When "<fault>" strikes at every step, alone, twice and beside other faults
    Then every promise of the path has held

    Examples:
      | fault |
      | runner leaves |
      | runner back |
      | owner dies |
      | two owners |
      | entry dies |
      | caller gone |
      | answer lost |
      | close lost |
      | asked twice |
      | report stale |
      | clock jumps |
