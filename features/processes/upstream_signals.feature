Feature: The product's own interface heeds what runners signal about themselves
  A runner signals in its responses that it leaves, and may request a back-off when it rejects a request.

  Background:
    Given 3 instances with 3 engines and 3 portals of their own

  # Guards against calls to a runner that signals that it leaves.
  Scenario: a service's runner that signals that it leaves gets no more calls
    When 8 callers make calls at one instance for 8 s, and from 2 s on one portal signals that it leaves
    Then from 0.5 s after its first such response it gets nothing
    And at least 98 in 100 of the answers are whole

  # Guards against generations on an engine that signals that it leaves.
  Scenario: an engine that signals that it leaves gets no more generations
    When 8 callers ask one instance for generations for 8 s, and from 2 s on one engine signals that it leaves
    Then from 0.5 s after its first such response it gets nothing
    And at least 98 in 100 of the answers are whole

  # Guards against calls within the back-off that a runner has requested.
  Scenario: a service's runner that rejects with a back-off gets no calls until it is over
    When 8 callers make calls at one instance for 9 s, and from 2 s on one portal rejects all with a back-off of 3 s
    Then it gets nothing between 0.5 s after a rejection and the end of its back-off
    And at least 98 in 100 of the answers are whole

  # Guards against generations within the back-off that an engine has requested.
  Scenario: an engine that rejects with a back-off gets no generations until it is over
    When 8 callers ask one instance for generations for 9 s, and from 2 s on one engine rejects all with a back-off of 3 s
    Then it gets nothing between 0.5 s after a rejection and the end of its back-off
    And at least 98 in 100 of the answers are whole

  # Guards against refusals without the time at which the first runner accepts calls again.
  Scenario: where all of a service's runners reject with a back-off, callers are refused at once
    When 8 callers make calls at one instance for 9 s, and from 2 s on each portal rejects all with a back-off of 3 s
    Then it gets nothing between 0.5 s after a rejection and the end of its back-off
    And who is refused is told so within 0.3 s, with a time to come back of at most 4.5 s
