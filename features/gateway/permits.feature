Feature: What an upstream takes is shared by all instances, and used
  An upstream signals how many requests a second it accepts from all instances together, perhaps one
  in two seconds, while hundreds of instances have requests for it.

  Scenario Outline: a fleet sends no more than allowed, and uses the limit
    Given <instances> instances that share <limit> requests a second, one of which is asked
    When they play a minute with many more requests
    Then in any 4 s there are at most 4 s of the limit and 3 sends
    And at least 0.9 of the limit is used

    Examples:
      | instances | limit |
      | 4         | 0.5   |
      | 8         | 2.1   |
      | 62        | 3.1   |
      | 195       | 2.1   |
      | 195       | 50    |
      | 410       | 0.5   |

  Scenario: even parts would leave most of it unused
    Given 62 instances that share 3.1 requests a second in even parts
    When they play a minute with many more requests
    Then less than 0.6 of the limit is used

  Scenario Outline: the sum holds while instances do not agree on who lives
    Given <instances> instances that share <limit> requests a second, one of which is asked
    When they play a minute of <faults>, each second one of the instance that is asked
    Then in any 4 s there are at most one and a half times the limit and 5 sends
    And at least 0.2 of the limit is used

    Examples:
      | instances | limit | faults |
      | 2         | 2.1   | kills  |
      | 8         | 3.1   | kills  |
      | 62        | 10    | kills  |
      | 4         | 2.1   | pauses |
      | 8         | 50    | pauses |
      | 62        | 3.1   | pauses |
      | 2         | 10    | cuts   |
      | 8         | 2.1   | cuts   |
      | 8         | 50    | cuts   |
      | 62        | 10    | cuts   |
      | 8         | 10    | splits |
      | 62        | 3.1   | splits |

  Scenario: two that each take themselves for the one to ask would break it
    Given 8 instances that share 10 requests a second, one of which is asked
    But each gives the whole limit, whatever it hears of the fleet, and at once
    When they play a minute of splits, each second one of the instance that is asked
    Then in some 4 s there are more than one and a half times the limit and 5 sends

  Scenario: a limit that falls is kept to at once
    Given 8 instances that share 10 requests a second, one of which is asked
    When they play a minute with many more requests, and the limit falls to 1 in the middle
    Then from 1 s after it there are at most 4 s of the new limit and 3 sends in any 4 s

  Scenario: who has nowhere else to go waits for its turn, the more urgent first
    Given 8 instances that share 5 requests a second, one of which is asked
    When they play a minute in which all can wait for 0.6 s and half of them are more urgent
    Then at least 0.9 of the limit is used
    And of the more urgent at least 1.2 times as many are sent, but at least a quarter are others
    And none waits for longer than 0.6 s

  Scenario: questions stay few
    Given 195 instances that share 2.1 requests a second, one of which is asked
    When they play a minute with many more requests
    Then at most 110 questions are asked in a second

  Scenario Outline: what answers and peers say in any order comes to the same
    Given <count> instances that hear of a limit that changes, in drawn orders
    Then all know the same in the end

    Examples:
      | count |
      | 2     |
      | 5     |

  Scenario: an answer that was under way when a limit was named does not end it
    Given a limit of 2 a second that was learned at 10 s
    When an answer without a limit comes to a request sent at 9.9 s
    Then the limit is still in force
    But an answer without a limit to a request sent at 10.1 s ends it
    And a lower one counts at once, whenever its request was sent

  Scenario: silence is no end, but a limit goes with its upstream
    Given a limit of 2 a second that was learned at 10 s
    Then the limit is still in force at 1000 s
    But it is forgotten once its upstream is gone

  Scenario: streams under way may take permits ahead of time, and the sum stays
    Given an allowance of 1 request a second that has just given all it had
    Then 3 streams under way are let through at once, and the next one is not
    And the next ordinary request is not let through within 3 s

  Scenario: calls that are not held back are taken off what follows
    Given an allowance of 1 request a second that has just given all it had
    When 2 calls are made that are not held back
    Then the next ordinary request is not let through within 2 s

  Scenario: an upstream that takes nothing is asked now and then whether that still holds
    Given 8 instances that share 0 requests a second, one of which is asked
    When they play a minute with many more requests
    Then between 3 and 8 requests are sent

  Scenario: callers that are turned away are told times one after another
    Given an instance whose part of a service's limits is 2 a second
    When 4 callers are turned away at once, and it may ask again in 0.3 s
    Then they are told to come back 0.5 s apart, the first after 0.3 s
