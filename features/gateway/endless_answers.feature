Feature: Answers to an instance's own requests that never end
  The client of the store, of engines' reports and of the own interface's runners, in the test
  process. Its peer sends a byte now and then, or without a pause.

  # Guards against a timeout that starts anew with each byte.
  Scenario Outline: an answer whose <part> trickles in is given up
    Given a peer whose <part> trickles in without end
    When its answer is read within 0.3 s
    Then the client gives up and closes the connection

    Examples:
      | part    |
      | headers |
      | body    |
      | event   |

  # Guards against answers that are held in memory without a bound, and against waits that never
  # end as the bytes never stop.
  Scenario Outline: an answer whose <part> never stops is given up
    Given a peer whose <part> never stops
    When its answer is read within 30 s
    Then the client gives up and closes the connection

    Examples:
      | part    |
      | headers |
      | body    |
      | event   |
