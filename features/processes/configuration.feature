@processes
Feature: Configuration on real processes

  Scenario: operators race
    When two operators submit at once on the same base
    Then one is accepted and the other gets a conflict that shows the current one

  Scenario: an answer to the write is lost
    When the platform is told "lose one answer"
    Then the submission is accepted all the same
    And policy "settled" is in force everywhere within 5 s
    And asking for its id says "accepted", and for another "unknown"

  Scenario: the platform fails right after the acceptance and an instance joins
    When policy "outage" is submitted and the platform fails right after
    Then policy "outage" is in force everywhere within 5 s
    When an instance joins during the outage
    Then policy "outage" is in force everywhere within 5 s
    When the platform is told "up"
    And all instances are killed and replaced
    Then policy "outage" is in force everywhere within 5 s
