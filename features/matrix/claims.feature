# The rows are the FAULTS of features/worlds; features/matrix/lists.feature checks them.
Feature: Fault matrix of the claims path
  A request that may not be repeated runs at most once, under every fault of holders and platform.

  Scenario Outline: claims, <fault>
    Given the claims path
    When "<fault>" strikes at every step, alone, twice and beside other faults
    Then every promise of the path has held

    Examples:
      | fault |
      | platform down |
      | answer lost |
      | write lost |
      | write arrives late |
      | sent twice |
      | holder paused |
      | holder dies |
      | all die |
      | entry dies |
      | ask times out |
      | asked twice |
