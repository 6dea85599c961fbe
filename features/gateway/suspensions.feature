Feature: Time for which the machine was suspended counts
  A machine may be suspended for seconds. The monotonic clock and the event loop's timers stop then;
  CLOCK_BOOTTIME and the time of day continue.

  Guards against code that uses the monotonic clock: after a suspension it takes outdated reports for
  fresh, and forwards and awaits deadlines that have passed. A stopped process does not show this,
  since the monotonic clock continues there.

  Background:
    Given a gateway on a machine that can be suspended

  Scenario Outline: who waits for an answer is answered soon after the machine runs again
    Given the upstream of "r1" answers nothing more after <what>
    When "<path>" is asked, and the machine is suspended for 4 s while it waits
    Then its caller has the end of its answer within 1 s

    Examples:
      | path      | what     |
      | /safe/x   | the head |
      | /stream/x | 2 events |

  Scenario: an upstream is told the time that is left
    Given the machine is suspended for 2 s between the reading of a request and its send
    When "/once/x" is asked as "r1", with 3 s until its deadline
    Then its upstream is told of at most 1 s

  Scenario: what a peer told before the suspension is old after it
    Given a peer has told the gateway that it is ready
    When the machine is suspended for 4 s
    Then callers are not sent to that peer

  Scenario: the holder of a lease does not hold it any more
    Given an instance that has just renewed its lease of the runners' placement
    When the machine is suspended for longer than the lease lasts
    Then it orders nothing

  Scenario: no part of the product reads a clock that stands still in a suspension
    Then no module of the product but the clock's reads the monotonic clock
