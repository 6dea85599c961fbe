Feature: The gateway's plain calls
  One gateway with stand-ins of its upstreams, inside the test process.

  Background:
    Given a gateway before two plain upstreams and three engines

  Scenario: a call is passed on unchanged and its answer comes back unchanged
    When "/once/a?b=c" is asked as "r1"
    Then the answer is 200 "whole" with the upstream's seal
    And one upstream has run "r1" with method POST, target "/once/a?b=c" and its body

  Scenario: what only the system may set is taken from no caller
    When a request for "/once/a" with forged headers is asked as "r1"
    Then no forged header has reached the upstream of "r1"
    And the upstream of "r1" was told workspace "north" and its own id, and no key

  Scenario: a safe call that fails is sent to another upstream
    Given the first upstream of "r1" will answer 500
    When "/safe/a" is asked as "r1"
    Then the answer is 200 "whole" with the upstream's seal
    And "r1" has run on 2 upstreams

  Scenario: a safe call that fails twice gets the upstream's own failure
    Given the first 2 upstreams of "r1" will answer 500
    When "/safe/a" is asked as "r1"
    Then the answer is 500 "failed" with the upstream's seal

  Scenario: a repeat that the common budget refuses is logged with what decided it
    Given the first upstream of "r1" will answer 500
    And no repeats are left in the common budget
    When "/safe/a" is asked as "r1"
    Then the answer is 500 "failed" with the upstream's seal
    And "r1" has run on 1 upstreams
    And the log tells that the budget allowed "r1" no further send, and why

  Scenario Outline: a call that may run once is not repeated after <fault>
    Given the upstream of "r1" will <fault>
    When "/once/a" is asked as "r1"
    Then the answer is <status> and promises nothing
    And "r1" has run on 1 upstreams

    Examples:
      | fault                   | status |
      | reset                   | 502    |
      | cut its answer short    | 502    |
      | break off inside chunks | 502    |

  Scenario: a call that may run once is sent elsewhere when it was turned away
    Given the first upstream of "r1" will turn it away
    When "/once/a" is asked as "r1"
    Then the answer is 200 "whole" with the upstream's seal
    And "r1" has run on 1 upstreams

  Scenario: a call that is turned away by the status alone is sent elsewhere
    Given the upstream of "r1" will say by the status alone that it is not the one meant
    When "/once/a" is asked as "r1"
    Then the answer is 200 "whole" with the upstream's seal
    And "r1" has run on 1 upstreams

  Scenario: a call that all upstreams turn away is told when to come back
    Given all upstreams of "r1" will turn it away
    When "/once/a" is asked as "r1"
    Then the answer is 503 and tells when to come back
    And "r1" has run on 0 upstreams

  Scenario: an answer to another request that ends with the connection ends the wait as well
    Given the upstream of "r1" will answer another request without a length, and close
    When "/once/a" is asked as "r1"
    Then the answer is 502 and promises nothing
    And "r1" has run on 1 upstreams

  Scenario: a surplus answer to another request is dropped
    Given the upstream of "r1" will answer another request first
    When "/once/a" is asked as "r1"
    Then the answer is 200 "whole" with the upstream's seal

  Scenario: bytes after a whole answer belong to no request
    Given the upstream of "r1" will send more after its answer
    When "/once/a" is asked as "r1"
    Then the answer is 200 "whole" with the upstream's seal

  Scenario: an answer without a length ends with its connection
    Given the upstream of "r1" will answer without a length
    When "/once/a" is asked as "r1"
    Then the answer is 200 "whole" with the upstream's seal

  Scenario: an answer without a length that is reset is not taken for whole
    Given the upstream of "r1" will answer without a length and be reset
    When "/once/a" is asked as "r1"
    Then the answer is 502 and promises nothing

  Scenario: a call that outlasts its route's time is answered at once
    Given the upstream of "r1" will hang
    When "/safe/quick/a" is asked as "r1"
    Then the answer is 504 and promises nothing
    And it came within 0.4 s

  Scenario: a caller that leaves has its call given up
    Given the upstream of "r1" will hang
    When a caller asks "/safe/a" as "r1" and leaves once it runs
    Then the upstream's connection of "r1" ends within 0.5 s

  Scenario: an upstream that is leaving gets no new call
    Given the first plain upstream is leaving
    When 10 calls are asked
    Then the first plain upstream has run none of them

  Scenario: an address taken over by another upstream runs nothing
    Given the first plain upstream was replaced at its address
    When 4 calls are asked
    Then all are answered 200 and the new one has run none for the old
