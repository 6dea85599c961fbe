Feature: The retry budget that all instances share

  # Guards against instances that take the same remainder of the budget from old views of each other.
  Scenario Outline: the retry budget holds whatever instances know of each other
    Given fleets of <instances> instances that share <extra> retries and a fifth of <per_s> requests a second
    When <seeds> of them play <disturbance>, and some messages are late or lost
    Then no window of 10 s holds more than 0.95 of the allowed retries

    Examples:
      | instances | extra | per_s | seeds | disturbance                                |
      | 8         | 56    | 30    | 12    | a burst at all instances                   |
      | 62        | 190   | 85    | 3     | a burst at all instances                   |
      | 195       | 190   | 260   | 1     | a burst at all instances                   |
      | 8         | 56    | 30    | 12    | steady demand at all instances             |
      | 62        | 190   | 85    | 3     | steady demand at all instances             |
      | 195       | 190   | 260   | 1     | steady demand at all instances             |
      | 8         | 56    | 30    | 12    | half of the instances killed each 4 s      |
      | 62        | 190   | 85    | 3     | half of the instances killed each 4 s      |
      | 195       | 190   | 260   | 1     | half of the instances killed each 4 s      |
      | 62        | 190   | 85    | 3     | all instances killed twice                 |
      | 8         | 56    | 30    | 12    | halves that do not reach each other        |
      | 62        | 190   | 85    | 3     | halves that do not reach each other        |
      | 8         | 56    | 30    | 12    | a third of the instances frozen by turns   |
      | 62        | 190   | 85    | 3     | a third of the instances frozen by turns   |
      | 62        | 190   | 85    | 3     | a fifth of the instances starting meanwhile |

  # Guards against parts of the budget that nobody can use.
  Scenario Outline: the retry budget can be used by one instance alone and by all
    Given fleets of <instances> instances that share <extra> retries and a fifth of <per_s> requests a second
    When <seeds> of them play <disturbance>, and all messages arrive
    Then some window of 10 s holds at least <usable> of the allowed retries

    Examples:
      | instances | extra | per_s | seeds | disturbance                    | usable |
      | 8         | 56    | 30    | 12    | steady demand at one instance  | 0.6    |
      | 62        | 190   | 85    | 3     | steady demand at one instance  | 0.6    |
      | 8         | 56    | 30    | 12    | steady demand at all instances | 0.75   |
      | 62        | 190   | 85    | 3     | steady demand at all instances | 0.75   |
      | 195       | 190   | 260   | 1     | steady demand at all instances | 0.75   |

  # Guards against a budget that grows with connections that fail during an outage.
  Scenario Outline: a <what> whose connections all fail counts as one request in the retry budget
    Given a gateway before two plain upstreams and three engines
    And all upstreams have stopped listening
    When "<path>" is asked as "r1"
    Then the budget of "<service>" has counted 1 request

    Examples:
      | what   | path      | service |
      | stream | /stream/a | engines |
      | call   | /safe/a   | portal  |

  # Guards against retries that are paid for and never sent, while others are refused.
  Scenario Outline: a retry of a <what> that is not sent is given back to the retry budget
    Given a gateway before two plain upstreams and three engines
    And the first upstream of "r1" turns it away, and all others stop listening by then
    When "<path>" is asked as "r1"
    Then the budget of "<service>" has counted no retry and has its whole share left

    Examples:
      | what   | path      | service |
      | stream | /stream/a | engines |
      | call   | /safe/a   | portal  |

  # Guards against a window that ends before the retries that it holds have arrived.
  Scenario: a retry counts from when it is sent
    Given a retry budget of 4 retries for one instance
    When a retry is reserved at 100 s and sent at 103 s
    Then 2 retries are left from 100 s to 112.9 s, and 3 at 113.1 s
