Feature: Planned stops of a gateway with slow upstreams
  One gateway with stand-ins of its upstreams, inside the test process. The grace time is 8 s.

  Background:
    Given a gateway before two plain upstreams and three engines
    And another instance that is ready

  # Guards against late requests that are sent to an upstream and cut off by the kill.
  Scenario Outline: a late request that may outlast the grace time is refused at once
    Given a stop that was requested <since> s ago
    When "<path>" is asked as "r1" with a deadline of <deadline> s
    Then it is refused with a time to come back of at most 0.05 s
    And no upstream has received "r1"

    Examples:
      | path              | since | deadline |
      | /stream/patient/a | 3.2   | 6        |
      | /stream/patient/a | 5.6   | 6        |
      | /once/a           | 5.2   | 3        |
      | /safe/a           | 6.5   | 3        |

  # Guards against streams that are accepted as engines are usually faster than their targets.
  Scenario: a stream that an engine near its targets cannot end in time is refused at once
    Given a stop that was requested 1.5 s ago
    When "/stream/patient/a" is asked as "r1" for 400 tokens with a deadline of 20 s
    Then it is refused with a time to come back of at most 0.05 s
    And no upstream has received "r1"

  # Guards against refusing callers that can be served.
  Scenario Outline: a request that must end within the grace time is served
    Given a stop that was requested <since> s ago
    When "<path>" is asked as "r1" with a deadline of <deadline> s
    Then the answer is 200

    Examples:
      | path              | since | deadline |
      | /stream/patient/a | 2.0   | 6        |
      | /stream/patient/a | 4.0   | 3        |
      | /once/a           | 4.0   | 3        |
      | /once/a           | 6.4   | 1        |
      | /safe/a           | 5.2   | 3        |

  # Guards against refusing callers that no other instance can serve.
  Scenario: the only instance serves calls while they are expected to end in time
    Given no other instance is ready
    And a stop that was requested 5.0 s ago
    When "/once/a" is asked as "r1" with a deadline of 3 s
    Then the answer is 200

  # Guards against a Retry-After that sends callers back to an instance that cannot serve them yet.
  Scenario Outline: a caller that no instance can serve is told to come back soon, but not at once
    Given no other instance is ready
    And a stop that was requested <since> s ago
    When "/stream/patient/a" is asked as "r1" with a deadline of 6 s
    Then it is refused with a time to come back of <least> to <most> s

    Examples:
      | since | least | most |
      | 4.0   | 0.5   | 0.5  |
      | 6.2   | 0.1   | 0.2  |
      | 6.6   | 0.5   | 0.5  |

  # Guards against a grace time that is counted from the handling of a signal that arrived before.
  Scenario Outline: a stop whose signal is handled late ends with the grace time from its arrival
    Given a stop whose signal arrived up to <late> s before it was handled
    When "<path>" is asked as "r1" with a deadline of <deadline> s
    Then it is refused with a time to come back of at most 0.05 s
    And no upstream has received "r1"

    Examples:
      | path              | late | deadline |
      | /stream/patient/a | 5.6  | 6        |
      | /once/a           | 5.7  | 3        |
      | /safe/a           | 7.9  | 3        |

  # Guards against calls that are cut off by the kill without a response.
  Scenario Outline: a call without a response gets an error response before the kill
    Given the upstream of "r1" will hang
    When "<path>" is asked as "r1" with 20 s left, and the instance is stopped
    And 7.7 s of the grace time have passed
    Then "r1" is answered 504 as a whole, which promises nothing

    Examples:
      | path              |
      | /slow/a           |
      | /stream/patient/a |

  # Guards against a shortened deadline that upstreams do not learn of.
  Scenario: an upstream is told how long a call may take until the kill
    Given a stop that was requested 5.2 s ago
    When "/safe/a" is asked as "r1" with a deadline of 3 s
    Then the upstream of "r1" was given at most 2.4 s

  # Guards against waiting requests that are sent although they can no longer end in time.
  Scenario: a stream that waits for memory is refused once it can no longer end in time
    Given all engines' memory is full for now
    When "/stream/patient/a" is asked as "s1" and waits, and the instance is stopped
    And 6.2 s of the grace time have passed
    Then "s1" is refused as a whole, and no upstream has received it

  # Guards against a second signal, or changed settings, that move the end of the stop.
  Scenario: a second stop request and changed settings do not prolong a stop
    Given a stop that was requested 5.6 s ago
    When the settings change to a grace time of 60 s, and the stop is requested again
    And "/stream/patient/a" is asked as "r1" with a deadline of 6 s
    Then it is refused with a time to come back of at most 0.05 s

  # Guards against streams that are broken off early by a stop.
  Scenario: a stream in progress continues until the kill
    Given an open stream and a stop that was asked for
    When 7.9 s of the grace time have passed
    Then the open stream ends whole
