Feature: Upstreams on shared machines, where work takes longer for a while
  Upstreams report their load with each response: running, waiting, slots and, on shared machines,
  how long work takes there now. One gateway inside the test process, whose clock stands still.

  Background:
    Given a gateway before two plain upstreams and three engines
    And the gateway's clock stands still

  # Guards against loads with a fourth figure that are dropped as invalid.
  Scenario: a load of four figures reaches the selection of calls
    Given the plain upstreams report "0,0,8,250" and "0,0,8,100"
    When 40 calls are asked
    Then the first plain upstream has run at most 1 of them
    And the metrics show a pace of 2.5

  # Guards against a full upstream on a fast machine that gets calls ahead of a slow idle one.
  Scenario: a call goes where it finishes first, not where work is fast
    Given the plain upstreams report "0,0,8,250" and "8,16,8,100"
    When 40 calls are asked
    Then the second plain upstream has run at most 1 of them

  # Guards against a malformed load that is used, or dropped without a trace.
  Scenario Outline: a malformed load is logged, counted and ignored
    Given the plain upstreams report "<load>" and "-"
    When 40 calls are asked
    Then each response with "<load>" is logged and counted
    And each plain upstream has run at least 8 of them
    And the metrics show a pace of 1

    Examples:
      | load               |
      | 1,2                |
      | 0,0,8,250,1        |
      | 0,0,x,250          |
      | 0,-1,8             |
      | 0,0,8,             |
      | 0,0,8,0            |
      | 0,0,8,nan          |
      | 0,0,8,99999999     |
      | 5000000000,0,8,100 |

  # Guards against upstreams that are passed over for a load that is long out of date.
  Scenario: an old load fades
    Given the plain upstreams report "0,0,8,250" and "-"
    When a response of the first plain upstream arrives
    Then 0.1 s later the first plain upstream is taken to work 2.5 times as long
    And 0.4 s later the first plain upstream is taken to work 1.75 times as long
    And 0.7 s later the first plain upstream is taken to work 1.375 times as long
    And 1.2 s later the first plain upstream is taken to have no load

  # Guards against a load that hides what was sent after it was reported.
  Scenario: requests sent after a load was reported count on top of it
    Given the plain upstreams report "3,1,8,100" and "-"
    When a response of the first plain upstream arrives
    And 2 requests are sent to the first plain upstream
    Then 0.1 s later the first plain upstream is taken to have 6 requests
    And 0.4 s later the first plain upstream is taken to have 4 requests

  # Guards against requests that count twice: in the upstream's load and in the instance's sums.
  Scenario: a call in progress counts once
    Given the plain upstreams report their true load of 8 slots and a pace of 100
    When 7 calls are in progress
    And 40 calls are asked
    Then each plain upstream is taken to have the calls that are in progress there

  # Guards against a slow period that moves no call, or keeps the calls away when it is over.
  Scenario: calls move off an upstream in a slow period and return afterwards
    Given the plain upstreams report "0,0,8,250" and "0,0,8,100"
    When 40 calls are asked
    Then the first plain upstream has run at most 1 of them
    When the plain upstreams report "0,0,8,100" and "0,0,8,100"
    And 1.2 s pass
    And 40 calls are asked
    Then each plain upstream has run at least 8 of them

  # Guards against a penalty for a slow period that outlasts it by seconds.
  Scenario: an upstream that is slow now is no outlier
    Given the plain upstreams report "0,0,8,250" and "0,0,8,100"
    When the plain upstreams answer 30 calls in 0.25 s and 0.1 s
    Then no plain upstream has a penalty

  # Guards against a penalty for the calls that a slow period has prolonged in part.
  Scenario: a call during which a slow period ends makes its upstream no outlier
    Given the plain upstreams report "0,0,8,100" and "0,0,8,100"
    And the plain upstreams answer 30 calls in 0.1 s and 0.1 s
    When the first plain upstream alone answers 30 calls in 0.143 s, and its pace of 2.5 ends meanwhile
    Then no plain upstream has a penalty

  # Guards against an upstream that hides behind its report: one that is slow beyond its pace.
  Scenario: an upstream that is slower than its pace is an outlier
    Given the plain upstreams report "0,0,8,100" and "0,0,8,100"
    When the plain upstreams answer 30 calls in 0.25 s and 0.1 s
    Then the first plain upstream has a penalty

  # Guards against a change for deployments whose upstreams report three figures.
  Scenario: a load of three figures does not change which upstream is chosen
    Given the plain upstreams report "7,4,8" and "0,0,8"
    When a response of each plain upstream arrives
    Then 100 calls are chosen as without the loads
    And 100 streams are chosen as without the loads

  # Guards against calls that are sent only to be rejected.
  Scenario Outline: nothing more is sent than slots and queue are known to take
    Given the first plain upstream has rejected a call with "<load>"
    And its ejection is over
    When its next response reports "<load>"
    And 20 calls are asked
    Then the first plain upstream has received none of them
    When <later> s pass
    And 40 calls are asked
    Then the first plain upstream has received some of them

    Examples:
      | load      | later |
      | 8,4,8     | 0.2   |
      | 8,4,8,100 | 1.2   |

  # Guards against an upstream that is passed over though its queue has a place again.
  Scenario: an upstream whose queue has a place gets calls
    Given the first plain upstream has rejected a call with "8,4,8"
    And its ejection is over
    When its next response reports "8,3,8"
    And 20 calls are asked
    Then the first plain upstream has received some of them

  # Guards against an upstream that is passed over as full though it rejects for another reason.
  Scenario: a rejection by an upstream with free slots does not limit it
    Given the first plain upstream has rejected a call with "3,0,8"
    And its ejection is over
    When its next response reports "3,0,8"
    And 20 calls are asked
    Then the first plain upstream has received some of them

  # Guards against a queue that is taken to be full by a load of an earlier response: a rejection
  # without a load, or one that came from another upstream (421), tells nothing about it.
  Scenario: a rejection without a load does not limit an upstream
    Given the first plain upstream has rejected a call without a load, after reporting "8,4,8"
    And its ejection is over
    When its next response reports "8,4,8"
    And 20 calls are asked
    Then the first plain upstream has received some of them

  # Guards against calls that are sent, or wait beyond their time, while all upstreams are full.
  Scenario: a call that no upstream has a place for is refused
    Given all plain upstreams have rejected a call with "8,4,8"
    When "/safe/a" is asked as "r1", 1 s after it arrived
    Then the answer is 503 and tells when to come back
    And "r1" has reached no plain upstream, and the log tells by which loads

  # Guards against a call that is refused though a place may be free in a moment.
  Scenario: a call waits until the loads of full upstreams are old
    Given all plain upstreams have rejected a call with "8,4,8"
    When "/safe/a" is asked as "r1", and 0.2 s pass while it waits
    Then the answer is 200 "whole" with the upstream's seal

  # Guards against streams that are sent to an engine on a machine that is slow now.
  Scenario: the pace of an engine multiplies the expected delay of a stream
    When the first engine reports "0,0,64,250" and the others "0,0,64,100"
    Then no stream of 100 is chosen for the first engine
