# The rows are the FAULTS of features/worlds; features/matrix/lists.feature checks them.
Feature: Fault matrix of the configuration path
  An accepted configuration is kept and never reverts, and the reported outcomes are correct.

  Scenario Outline: configuration, <fault>
    Given the configuration path
    When "<fault>" strikes at every step, alone, twice and beside other faults
    Then every promise of the path has held

    Examples:
      | fault |
      | platform down |
      | answer lost |
      | write lost |
      | write arrives late |
      | sent twice |
      | operators race |
      | instance dies |
      | all restart |
      | platform shows old |
