@processes
Feature: Bad input costs nothing

  Scenario: malformed input on every listener
    When malformed input is sent to every listener
    Then bad requests get a clear 4xx
    And a resume token of one workspace opens nothing for another
    And all instances still run and serve
