Feature: The product's own interface sends runners no more than they say they take
  A runner signals in its responses how many requests a second it accepts from all instances together.

  Background:
    Given 3 instances with 3 engines and 3 portals of their own

  Scenario: a service's runner that names a limit gets no more calls
    When 8 callers make calls for 12 s, and from 2 s on one portal takes 2.1 a second
    Then from 3 s after it that runner gets at most 17 in any 4 s, and 0.6 of its limit
    And at least 98 in 100 of the answers are whole

  Scenario: an engine that names a limit gets no more generations
    When 8 callers ask for generations for 12 s, and from 2 s on one engine takes 1.5 a second
    Then from 3 s after it that runner gets at most 14 in any 4 s, and 0.4 of its limit
    And at least 98 in 100 of the answers are whole

  Scenario: where all of a service's runners name a limit, callers are told when to come back
    When 8 callers make calls for 12 s, and from 2 s on each portal takes 2.1 a second
    Then from 3 s after it that runner gets at most 17 in any 4 s, and 0.6 of its limit
    And who is refused is told so within 1 s, with a time to come back, and nothing ran
