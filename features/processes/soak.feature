Feature: A short fault soak
  Real gateway processes under random faults of one seed; longer runs are made by hand.

  Scenario: the promises hold under the faults of one seed
    Given a soak of seed 5 with 3 instances for 12 s
    Then it breaks no promise
