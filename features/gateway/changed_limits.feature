Feature: Limits of requests change while callers keep their connections open
  The configuration bounds what a caller may send, and how long it may take or remain idle.

  Background:
    Given a gateway before two plain upstreams and three engines

  # Guards against 431 and 413 on connections that were opened before the limits were raised.
  Scenario Outline: requests on open connections are read within raised limits
    Given a caller's connection that is <state>
    When the limits are raised fourfold
    And a request with <part> is sent on that connection
    Then it is answered 200 on that connection

    Examples:
      | state                       | part                    |
      | open without a request      | a header of 12000 bytes |
      | open without a request      | a body of 150000 bytes  |
      | idle after a served request | a header of 12000 bytes |
      | idle after a served request | a body of 150000 bytes  |

  # Guards against requests beyond lowered limits on connections that were opened before.
  Scenario Outline: requests on open connections are refused beyond lowered limits
    Given a caller's connection that is idle after a served request
    When the limits are lowered to a quarter
    And a request with <part> is sent on that connection
    Then it is answered <status> on that connection

    Examples:
      | part                   | status |
      | a header of 4000 bytes | 431    |
      | a body of 30000 bytes  | 413    |

  # Guards against requests that are refused as the limits change while they arrive.
  Scenario: a request that has begun keeps its limits
    Given a caller's connection that has sent half of a request with a body of 30000 bytes
    When the limits are lowered to a quarter
    And the rest of the request is sent
    Then it is answered 200 on that connection

  # Guards against idle connections that are closed by the limits of an earlier configuration.
  Scenario: the time that an idle connection has is the current one
    Given an idle connection that has 0.2 s
    When its idle time is raised to 20 s
    Then it is still open once 0.2 s have passed, and its next request is read
