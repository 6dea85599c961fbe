Feature: The matrix is complete
  Fails for a new event, action or fault that has no rows in the matrix.

  Scenario Outline: the <path> path's lists
    Given the <path> path
    Then its steps are all the events and actions of the code
    And its feature file lists all its faults

    Examples:
      | path |
      | relay |
      | claims |
      | configuration |
      | placement |
      | membership |
      | grants |

  Scenario Outline: random faults on the <path> path
    Given the <path> path
    Then random sequences of 6 faults break no promise, from seed 7

    Examples:
      | path |
      | relay |
      | claims |
      | configuration |
      | placement |
      | membership |
      | grants |
