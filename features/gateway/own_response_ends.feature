Feature: How responses of the own interface end
  The own interface's server and application in the test process, with a relay whose items are given.

  # Guards against a stream that ends with its last chunk, and a problem inside it, after an unexpected error.
  Scenario Outline: a stream whose relay <ends> <is> complete
    Given the own interface before a relay that <ends>
    When its stream is read
    Then it holds 2 tokens and nothing but <more>
    And its last chunk is <last_chunk>

    Examples:
      | ends                             | is     | more             | last_chunk |
      | is complete after 2 tokens       | is     | its end          | there      |
      | fails after 2 tokens             | is     | the failure      | there      |
      | raises an error after 2 tokens   | is not | the tokens       | missing    |
      | stops without an end after 2     | is not | the tokens       | missing    |

  Scenario: an unexpected error before the first token is a whole response of its own
    Given the own interface before a relay that raises an error at once
    When its stream is read
    Then it is a whole problem with status 500
