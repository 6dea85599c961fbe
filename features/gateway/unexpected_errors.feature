Feature: Unexpected errors while a request is served
  One gateway with stand-ins of its upstreams, inside the test process.

  Background:
    Given a gateway before two plain upstreams and three engines

  # Guards against a request whose connection ends without a response after its upstream has run it.
  Scenario Outline: a request without a response gets a whole one, which promises nothing
    Given an unexpected error as an upstream's response is decoded
    When "<path>" is asked as "r1"
    Then the answer is 500 and promises nothing
    And the response is whole, and its connection ends

    Examples:
      | path      |
      | /safe/a   |
      | /once/a   |
      | /stream/a |

  # Guards against an error response inside a response that has begun.
  Scenario: a stream that has begun breaks off visibly
    Given an unexpected error as the first event of a stream is recorded
    When "/stream/a" is asked as "r1"
    Then its response ends after the head, and is not whole
