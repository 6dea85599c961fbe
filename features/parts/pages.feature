Feature: The pages hold
  Figures come from recorded runs; names in the pages are those of the code.

  Scenario: figures
    Then the pages' figures are those of the recorded runs

  Scenario: names
    Then every setting, metric, log prefix, problem code and exit code is in the operators' page
    And every fault and path of the matrix is in the proofs' page
