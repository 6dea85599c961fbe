# The rows are the FAULTS of features/worlds; features/matrix/lists.feature checks them.
Feature: Fault matrix of the relay path
  Each token is delivered once, in order and from one generation; "not run" is stated only if the
  request was not executed.

  Scenario Outline: relay, <fault>
    Given the relay path
    When "<fault>" strikes at every step, alone, twice and beside other faults
    Then every promise of the path has held

    Examples:
      | fault |
      | engine dies |
      | engine forgets |
      | stream hangs |
      | connection refused |
      | runner refuses |
      | token twice |
      | token lost |
      | last token lost |
      | crossed answer |
      | late grant |
      | owner refuses |
      | entry dies |
      | caller gone |
      | deadline passes |
