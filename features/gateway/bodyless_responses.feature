Feature: Responses without a body
  A gateway in the test process. A response to HEAD, and one with status 204 or 304, ends with its head.

  # Guards against a length of zero that no upstream has stated: it is not allowed with status 204, and it is that of another
  # response with status 304 and for HEAD.
  Scenario Outline: a response to <method> "<path>" with status <status> states no length, and the next one follows
    Given a gateway before two plain upstreams and three engines
    And its upstreams answer with status <status>, no body and <fields>
    When <method> "<path>" and then POST "/safe/b" are asked on one kept connection
    Then the first response is a head with status <status> and without any framing, and the second is whole

    Examples:
      | method | path      | status | fields             |
      | POST   | /safe/a   | 204    | no length          |
      | POST   | /safe/a   | 204    | a length of zero   |
      | POST   | /safe/a   | 304    | no length          |
      | POST   | /safe/a   | 304    | another's length   |
      | POST   | /once/a   | 204    | no length          |
      | POST   | /stream/a | 204    | no length          |
      | POST   | /stream/a | 304    | another's length   |
      | HEAD   | /safe/a   | 200    | no length          |
      | HEAD   | /safe/a   | 200    | another's length   |
      | HEAD   | /once/a   | 200    | another's length   |
      | HEAD   | /once/a   | 404    | another's length   |
      | HEAD   | /stream/a | 200    | no length          |
      | HEAD   | /stream/a | 404    | another's length   |

  # Guards against responses without a length for those that may have one.
  Scenario: an empty response with status 200 states its length of zero
    Given a gateway before two plain upstreams and three engines
    And its upstreams answer with status 200, no body and a length of zero
    When POST "/safe/a" and then POST "/safe/b" are asked on one kept connection
    Then the first response is a head with status 200 and a length of zero, and the second is whole
