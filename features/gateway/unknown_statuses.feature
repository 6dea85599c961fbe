Feature: Responses whose status HTTP does not know
  Such a head is no response: known at once, not at the deadline, and never passed on. Gateways with
  stand-ins of their upstreams, and the client of an instance's own requests, in the test process.

  # Guards against calls that wait until their deadline, or take another response, as the head passes
  # for an interim one; and against statuses that reach callers although HTTP does not know them.
  Scenario Outline: a safe call answered with status <status> "<form>" is repeated at once
    Given a gateway before two plain upstreams and three engines
    When a safe call is first answered with status <status> "<form>"
    Then it is repeated at once, and answered 200

    Examples:
      | status | form                    |
      | 000    | with a length           |
      | 000    | closed after it         |
      | 000    | left open               |
      | 000    | before a whole response |
      | 099    | with a length           |
      | 099    | closed after it         |
      | 099    | left open               |
      | 099    | before a whole response |
      | 101    | with a length           |
      | 101    | closed after it         |
      | 101    | left open               |
      | 101    | before a whole response |
      | 600    | with a length           |
      | 600    | closed after it         |
      | 600    | left open               |
      | 600    | before a whole response |
      | 999    | with a length           |
      | 999    | closed after it         |
      | 999    | left open               |
      | 999    | before a whole response |

  # Guards against the same for requests that must not be repeated.
  Scenario Outline: <request> answered with status <status> "<form>" fails at once
    Given a gateway before two plain upstreams and three engines
    When <request> is first answered with status <status> "<form>"
    Then it is answered 502 at once, and has run once

    Examples:
      | request                       | status | form                    |
      | a call that may run only once | 000    | with a length           |
      | a call that may run only once | 000    | closed after it         |
      | a call that may run only once | 000    | left open               |
      | a call that may run only once | 000    | before a whole response |
      | a call that may run only once | 099    | with a length           |
      | a call that may run only once | 099    | closed after it         |
      | a call that may run only once | 099    | left open               |
      | a call that may run only once | 099    | before a whole response |
      | a call that may run only once | 101    | with a length           |
      | a call that may run only once | 101    | closed after it         |
      | a call that may run only once | 101    | left open               |
      | a call that may run only once | 101    | before a whole response |
      | a call that may run only once | 600    | with a length           |
      | a call that may run only once | 600    | closed after it         |
      | a call that may run only once | 600    | left open               |
      | a call that may run only once | 600    | before a whole response |
      | a call that may run only once | 999    | with a length           |
      | a call that may run only once | 999    | closed after it         |
      | a call that may run only once | 999    | left open               |
      | a call that may run only once | 999    | before a whole response |
      | a stream                      | 000    | with a length           |
      | a stream                      | 000    | closed after it         |
      | a stream                      | 000    | left open               |
      | a stream                      | 000    | before a whole response |
      | a stream                      | 099    | with a length           |
      | a stream                      | 099    | closed after it         |
      | a stream                      | 099    | left open               |
      | a stream                      | 099    | before a whole response |
      | a stream                      | 101    | with a length           |
      | a stream                      | 101    | closed after it         |
      | a stream                      | 101    | left open               |
      | a stream                      | 101    | before a whole response |
      | a stream                      | 600    | with a length           |
      | a stream                      | 600    | closed after it         |
      | a stream                      | 600    | left open               |
      | a stream                      | 600    | before a whole response |
      | a stream                      | 999    | with a length           |
      | a stream                      | 999    | closed after it         |
      | a stream                      | 999    | left open               |
      | a stream                      | 999    | before a whole response |
      | a HEAD request                | 000    | left open               |
      | a HEAD request                | 099    | left open               |
      | a HEAD request                | 101    | left open               |
      | a HEAD request                | 600    | left open               |
      | a HEAD request                | 999    | left open               |

  # Guards against the same behind a tunnel.
  Scenario Outline: <request> answered with status <status> "<form>" through a peer fails at once
    Given a gateway whose upstreams are reached through a peer
    When <request> is first answered with status <status> "<form>"
    Then it is answered 502 at once, and has run once

    Examples:
      | request                       | status | form                    |
      | a call that may run only once | 000    | left open               |
      | a call that may run only once | 099    | before a whole response |
      | a call that may run only once | 600    | with a length           |
      | a call that may run only once | 999    | closed after it         |
      | a stream                      | 000    | left open               |
      | a stream                      | 099    | before a whole response |
      | a stream                      | 600    | with a length           |
      | a stream                      | 999    | closed after it         |

  # Guards against resumed streams that stand still until their deadline.
  Scenario Outline: a stream resumed at a run answered with status <status> "<form>" is broken off
    When a stream resumes at an engine that answers with status <status> "<form>"
    Then the stream is broken off at once, after the events of its first run

    Examples:
      | status | form                    |
      | 000    | with a length           |
      | 000    | closed after it         |
      | 000    | left open               |
      | 000    | before a whole response |
      | 099    | with a length           |
      | 099    | closed after it         |
      | 099    | left open               |
      | 099    | before a whole response |
      | 101    | with a length           |
      | 101    | closed after it         |
      | 101    | left open               |
      | 101    | before a whole response |
      | 600    | with a length           |
      | 600    | closed after it         |
      | 600    | left open               |
      | 600    | before a whole response |
      | 999    | with a length           |
      | 999    | closed after it         |
      | 999    | left open               |
      | 999    | before a whole response |

  # Guards against answers to an instance's own requests that are waited for, or taken for sound.
  Scenario Outline: <what> whose answer has status <status> "<form>" is rejected at once
    Given a peer that answers an instance's own requests
    When <what> is read whose answer has status <status> "<form>"
    Then the answer is rejected at once

    Examples:
      | what                   | status | form                    |
      | a service call         | 000    | left open               |
      | a service call         | 000    | before a whole response |
      | a service call         | 099    | left open               |
      | a service call         | 101    | left open               |
      | a service call         | 101    | before a whole response |
      | a service call         | 600    | with a length           |
      | a service call         | 999    | closed after it         |
      | a generation           | 000    | left open               |
      | a generation           | 000    | before a whole response |
      | a generation           | 099    | left open               |
      | a generation           | 101    | left open               |
      | a generation           | 101    | before a whole response |
      | a generation           | 600    | with a length           |
      | a generation           | 999    | closed after it         |
      | a load report          | 000    | left open               |
      | a load report          | 000    | before a whole response |
      | a load report          | 099    | left open               |
      | a load report          | 101    | left open               |
      | a load report          | 101    | before a whole response |
      | a load report          | 600    | with a length           |
      | a load report          | 999    | closed after it         |
      | cache events           | 000    | left open               |
      | cache events           | 000    | before a whole response |
      | cache events           | 099    | left open               |
      | cache events           | 101    | left open               |
      | cache events           | 101    | before a whole response |
      | cache events           | 600    | with a length           |
      | cache events           | 999    | closed after it         |
      | a list of the store    | 000    | left open               |
      | a list of the store    | 000    | before a whole response |
      | a list of the store    | 099    | left open               |
      | a list of the store    | 101    | left open               |
      | a list of the store    | 101    | before a whole response |
      | a list of the store    | 600    | with a length           |
      | a list of the store    | 999    | closed after it         |
      | a watch of the store   | 000    | left open               |
      | a watch of the store   | 000    | before a whole response |
      | a watch of the store   | 099    | left open               |
      | a watch of the store   | 101    | left open               |
      | a watch of the store   | 101    | before a whole response |
      | a watch of the store   | 600    | with a length           |
      | a watch of the store   | 999    | closed after it         |
      | an object of the store | 000    | left open               |
      | an object of the store | 000    | before a whole response |
      | an object of the store | 099    | left open               |
      | an object of the store | 101    | left open               |
      | an object of the store | 101    | before a whole response |
      | an object of the store | 600    | with a length           |
      | an object of the store | 999    | closed after it         |
      | a write to the store   | 000    | left open               |
      | a write to the store   | 000    | before a whole response |
      | a write to the store   | 099    | left open               |
      | a write to the store   | 101    | left open               |
      | a write to the store   | 101    | before a whole response |
      | a write to the store   | 600    | with a length           |
      | a write to the store   | 999    | closed after it         |
      | a move                 | 000    | left open               |
      | a move                 | 000    | before a whole response |
      | a move                 | 099    | left open               |
      | a move                 | 101    | left open               |
      | a move                 | 101    | before a whole response |
      | a move                 | 600    | with a length           |
      | a move                 | 999    | closed after it         |
      | an engine's state      | 000    | left open               |
      | an engine's state      | 000    | before a whole response |
      | an engine's state      | 099    | left open               |
      | an engine's state      | 101    | left open               |
      | an engine's state      | 101    | before a whole response |
      | an engine's state      | 600    | with a length           |
      | an engine's state      | 999    | closed after it         |
      | a health check         | 000    | left open               |
      | a health check         | 000    | before a whole response |
      | a health check         | 099    | left open               |
      | a health check         | 101    | left open               |
      | a health check         | 101    | before a whole response |
      | a health check         | 600    | with a length           |
      | a health check         | 999    | closed after it         |

  # Guards against sound interim responses that are rejected with the unknown ones.
  Scenario Outline: interim responses of status <status> are skipped
    Given a gateway before two plain upstreams and three engines
    And a peer that answers an instance's own requests
    When a call that may run only once is answered whole after interim responses of status <status>
    Then it is answered 200 by its only run
    When a service call is read whose answer comes after interim responses of status <status>
    Then the answer is accepted

    Examples:
      | status |
      | 100    |
      | 102    |
      | 103    |
      | 199    |

  # Guards against statuses of HTTP without a name that are rejected with the unknown ones.
  Scenario Outline: a response with status <status> is passed on
    Given a gateway before two plain upstreams and three engines
    When a call that may run only once is first answered with status <status> "with a length"
    Then it is answered <status> by its only run

    Examples:
      | status |
      | 200    |
      | 299    |
      | 499    |
      | 599    |
