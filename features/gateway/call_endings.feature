Feature: How responses to calls are framed and how they end
  One gateway with stand-ins of its upstreams, inside the test process. The upstreams frame their
  responses with a length, with chunks or with neither, and end them in each way.

  Background:
    Given a gateway before two plain upstreams and three engines

  # Guards against truncated responses that reach callers as successes with a computed length.
  Scenario Outline: a call that may run once, at an upstream that breaks off <framing> <place>: <ending>
    Given the first response of the plain upstreams has <framing> and ends <place>: <ending>
    When a call that may run only once is made
    Then it was answered 502 and has run once
    And its upstream counts as broken

    Examples:
      | framing  | place              | ending                           |
      | a length | right after its head | closed                         |
      | a length | after whole events | closed                           |
      | a length | inside an event    | closed                           |
      | a length | after whole events | reset                            |
      | a length | after whole events | process gone                     |
      | a length | after whole events | process gone, connections first  |
      | a length | after whole events | process restarted                |
      | chunks   | right after its head | closed                         |
      | chunks   | after whole events | closed                           |
      | chunks   | inside an event    | closed                           |
      | chunks   | after whole events | reset                            |
      | chunks   | after whole events | process gone                     |
      | chunks   | after whole events | process gone, connections first  |
      | chunks   | after whole events | process restarted                |
      | neither  | right after its head | reset                          |
      | neither  | right after its head | process gone                   |
      | neither  | right after its head | process gone, connections first |
      | neither  | right after its head | process restarted              |
      | neither  | after whole events | reset                            |
      | neither  | after whole events | process gone                     |
      | neither  | after whole events | process gone, connections first  |
      | neither  | after whole events | process restarted                |
      | neither  | inside an event    | reset                            |
      | neither  | inside an event    | process gone                     |
      | neither  | inside an event    | process gone, connections first  |
      | neither  | inside an event    | process restarted                |

  # Guards against the same for safe calls, which another upstream can serve whole.
  Scenario Outline: a safe call, at an upstream that breaks off <framing> <place>: <ending>
    Given the first response of the plain upstreams has <framing> and ends <place>: <ending>
    When a safe call is made
    Then it was answered whole by the other upstream

    Examples:
      | framing  | place              | ending                           |
      | a length | right after its head | closed                         |
      | a length | inside an event    | reset                            |
      | a length | after whole events | process gone                     |
      | a length | after whole events | process restarted                |
      | chunks   | right after its head | closed                         |
      | chunks   | inside an event    | reset                            |
      | chunks   | after whole events | process gone                     |
      | chunks   | after whole events | process restarted                |
      | neither  | right after its head | reset                          |
      | neither  | right after its head | process gone                   |
      | neither  | right after its head | process gone, connections first |
      | neither  | right after its head | process restarted              |
      | neither  | after whole events | reset                            |
      | neither  | after whole events | process gone                     |
      | neither  | after whole events | process gone, connections first  |
      | neither  | after whole events | process restarted                |

  # Guards against calls that wait beyond their route's time for an upstream that falls silent.
  Scenario Outline: a call at an upstream that falls silent within <framing> is no success
    Given the first response of the plain upstreams has <framing> and ends after whole events: silent
    When a call is made that has 150 ms
    Then it was answered 504

    Examples:
      | framing  |
      | a length |
      | chunks   |
      | neither  |

  # Guards against sound responses that are rejected because they end with their connection.
  Scenario Outline: a sound response with <framing> is served whole
    Given the first response of the plain upstreams has <framing> and ends after whole events: whole
    When a call that may run only once is made
    Then it was answered whole within 0.4 s

    Examples:
      | framing  |
      | a length |
      | chunks   |
      | neither  |

  # Guards against calls that wait too long for the state of their upstream's process.
  Scenario Outline: <calls> calls at once to upstreams that frame nothing are served whole
    Given all responses of the plain upstreams have neither and end whole
    When <calls> calls that may run only once are made at once
    Then all were answered whole within 0.8 s
    And the upstreams were asked for their state at most <checks> times

    Examples:
      | calls | checks |
      | 1     | 1      |
      | 10    | 10     |
      | 50    | 50     |

  # Guards against a retry of a safe call beyond the budget after an unframed response broke off.
  Scenario: a safe call whose unframed response broke off is not repeated without a retry budget
    Given the first response of the plain upstreams has neither and ends after whole events: process gone
    And no repeats are left in the common budget
    When a safe call is made
    Then it was answered 502 and has run once

  # Guards against promises, errors and successes of upstreams that rest on a truncated response, also behind a link that has fallen
  # silent: the process may have restarted there.
  Scenario Outline: <response> without framing is passed on only if its upstream lives
    Given an upstream that sends <response> without framing, and whose process <process>
    When a call that may run only once is made
    Then it was answered <status>

    Examples:
      | response            | process | status |
      | a rejection         | lives   | 503    |
      | a rejection         | ends    | 502    |
      | a server error      | lives   | 500    |
      | a server error      | ends    | 502    |
      | a client error      | lives   | 404    |
      | a client error      | ends    | 502    |
      | a client error      | answers no checks | 502 |
      | a success           | lives   | 200    |
      | a success           | ends    | 502    |
      | a success           | answers no checks | 502 |
