Feature: Messages between instances hold whatever figures callers and upstreams state

  # Guards against figures that exceed their field: the exception of the message library ends the process.
  Scenario: integers of any size are sent, in each field of each message
    When messages of each type are drawn with integers that their fields cannot hold
    Then each arrives with the nearest figures that its fields can hold

  # Guards against stated figures that overflow sums, or count as none.
  Scenario Outline: a stated figure is bounded where it is decoded
    When a caller states <stated> as token counts, length hint and prompt part
    Then <decoded> tokens are decoded

    Examples:
      | stated                    | decoded  |
      | 4000                      | 4000     |
      | 000000000000004000        | 4000     |
      | 2147483647                | 10000000 |
      | 99999999999999            | 10000000 |
      | 9 repeated 5000 times     | 10000000 |
      | -1                        | 0        |
