Feature: The pages hold
  The pages' figures come from recorded runs, and their names exist in the code.

  Scenario: figures
    Then the pages' figures are those of the recorded runs

  Scenario: names
    Then every setting, metric, log prefix, problem code and exit code is in the operators' page
    And every fault and path of the matrix is in the proofs' page
