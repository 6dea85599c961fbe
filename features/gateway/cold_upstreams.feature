Feature: A cold upstream is sent no more than it bears
  An upstream that has just started, or whose zone was empty for a while, can serve only a limited
  rate of requests for some seconds. It has the lowest load, so all instances would choose it at once.

  Scenario Outline: all instances together keep to what a cold upstream bears
    Given <instances> instances, each with its even part of 25 requests a second
    When each sends whatever it may to a cold upstream for 120 s, <how>
    Then it gets at most <most> requests in any second

    Examples:
      | instances | how                                   | most |
      | 8         | at every moment                       | 30   |
      | 62        | at every moment                       | 42   |
      | 62        | after a pause in which none was sent  | 42   |
      | 300       | at every moment                       | 42   |

  Scenario: those who place for zones and those who cannot ask them share the rate
    Given 3 placers and 62 instances that share 25 requests a second
    When each sends whatever it may to a cold upstream for 120 s, at every moment
    Then it gets at most 42 requests in any second

  Scenario: most of the rate is of use
    Given 8 instances, each with its even part of 25 requests a second
    When each sends whatever it may to a cold upstream for 120 s, at every moment
    Then it gets at least 15 requests in a second on average

  Scenario: a fresh instance sends cold upstreams nothing until it knows how many share
    Given an instance that has just started, and a cold upstream beside a warm one
    Then it chooses the warm one alone, however busy that is

  Scenario: coldness ends when the upstream says so, but not where it may not know yet
    Given an upstream that says it is cold for 4 s
    When it says 1 s later that it is not
    Then it is cold no more
    But one whose zone's cordon was just lifted is cold for 2.5 s whatever it says

  Scenario: an older entry does not make an upstream cold again
    Given a fleet that knows an upstream which was cold for 1 s
    When a peer offers its entry of then once more
    Then nobody is told that it is cold

  Scenario: where all upstreams are cold and no turn comes soon, callers are told at once
    Given a gateway whose upstreams of plain calls are all cold and bear 1 request in 4 s
    When 8 calls come at once
    Then most are refused within 0.3 s with a time to come back, and none waits longer
    And each upstream got at most 1 of them

  Scenario: copies and moves go to no cold engine
    Then of a cold empty engine and a warm one a quarter full the warm one gets copies and moves
