Feature: Runners that answer the own interface without end
  Real processes on loopback, and such runners in the test process.

  # Guards against answers that are each within their limit, and exceed the memory together.
  Scenario Outline: answers with <data> without end at the own interface stay within its memory
    Given the own interface before a plain service
    And a plain service that answers with <data> without end
    When 24 callers of the own interface call that service
    Then the own interface answers an ordinary call beside them
    And it answers each of them with an error
    And the own interface answers an ordinary call beside them
    And the own interface has used at most 160 MB and 300 descriptors

    Examples:
      | data                  |
      | a body without length |
      | chunks of two bytes   |
      | a header's value      |
      | a trailer             |

  # Guards against reports of engines that exceed the memory together.
  Scenario Outline: engines that answer with <data> without end leave the own interface its memory
    Given the own interface before a plain service
    And 16 engines whose answers have <data> without end
    When the instance has given up 32 of their answers
    Then the own interface answers an ordinary call beside them
    And the own interface has used at most 160 MB and 300 descriptors

    Examples:
      | data                  |
      | a body without length |
      | chunks of two bytes   |
      | a header's value      |
