Feature: HEAD requests
  A gateway in the test process. A response to HEAD has no body, whatever its headers say.

  # Guards against bytes behind a response to HEAD, which a caller takes for the response to its next request.
  Scenario Outline: a response to HEAD "<path>" with status <status> is followed by the next response
    Given a gateway before two plain upstreams and three engines
    When HEAD "<path>" and then POST "/safe/a" are asked on one connection
    Then the responses are a head with status <status>, and a whole one with status 200

    Examples:
      | path      | status |
      | /safe/a   | 200    |
      | /once/a   | 200    |
      | /stream/a | 200    |
      | /nowhere  | 404    |

  # Guards against the same with the listeners of readiness checks, directories and metrics.
  Scenario: a response of an auxiliary listener to HEAD is followed by the next response
    Given a gateway before two plain upstreams and three engines
    And an auxiliary listener of it that answers "whole"
    When HEAD "/ready" and then GET "/ready" are asked of the auxiliary listener
    Then the responses are a head with status 200, and a whole one with status 200

  # Guards against the same with the own interface.
  Scenario: a response of the own interface to HEAD is followed by the next response
    Given the own interface's server before an application that answers "whole"
    When HEAD "/ready" and then GET "/ready" are asked of the own interface
    Then the responses are a head with status 200, and a whole one with status 200
