# The rows are the FAULTS of features/worlds; features/matrix/lists.feature checks them.
Feature: Fault matrix of the membership path
  Live instances agree on which members are live, leaving or dead.

  Scenario Outline: membership, <fault>
    Given the membership path
    When "<fault>" strikes at every step, alone, twice and beside other faults
    Then every promise of the path has held

    Examples:
      | fault |
      | message lost |
      | message late |
      | message twice |
      | instance dies |
      | instance paused |
      | instance restarts |
      | link cut |
