Feature: A back-off that an upstream requests is kept in full
  The decisions without a network, and one gateway with stand-ins of its upstreams.

  # Guards against a back-off that a later, shorter one or a successful response ends early.
  Scenario: a back-off is lengthened and never shortened
    Given "u1" requests a back-off of 3 s at 10 s
    When "u1" requests a back-off of 1 s at 11 s
    Then "u1" wants no requests for 1.9 s at 11.1 s
    When "u1" requests a back-off of 3 s at 12 s
    Then "u1" wants no requests for 2.9 s at 12.1 s
    And "u1" wants no requests for 0 s at 15.1 s

  # Guards against an upstream that never receives requests again.
  Scenario: an absurdly long back-off is bounded
    Given "u1" requests a back-off of 1e12 s at 10 s
    Then "u1" wants no requests for 300 s at 10 s

  # Guards against a thundering herd when the first upstream accepts requests again.
  Scenario: refused callers return in order, one after the other
    When 6 callers of a service that serves 8 calls a second are refused 2 s before it takes calls
    Then each returns 0.125 s after the one before, the first of them in 2 s
    And 100 further callers return within 1 s of the first

  # Guards against malformed times that cause a back-off, or that are dropped without a log line.
  Scenario Outline: a back-off of <value> is logged and changes nothing
    Given a gateway before two plain upstreams and three engines
    When all upstreams reject once with "Retry-After: <value>"
    Then the log names the value "<value>", and no upstream backs off

    Examples:
      | value                         |
      | soon                          |
      | -3                            |
      | inf                           |
      | nan                           |
      | Thu, 03 Dec 2026 12:00:00 GMT |

  # Guards against probes, replicas and migrations that reach an engine within its back-off.
  Scenario: an engine that backs off gets no calls of our own, and no copy is to go there
    Given a gateway before two plain upstreams and three engines
    When a stream runs on an engine and all other engines but one back off
    Then copies and moves of the stream go to that one
    When the stream's engine backs off, too
    Then it is asked for no copy, no move and no state

  # Guards against a stream that is broken off although another replica of it could be used.
  Scenario: a stream goes on at a copy on an engine that takes requests
    Given a gateway before two plain upstreams and three engines
    When a stream breaks off, and its newest copy is on an engine that backs off for 0.3 s
    Then it goes on at its other copy at once

  # Guards against a placer that does not know the back-offs of the instances for which it places.
  Scenario: a placer leaves out what backs off from the instance that asks, and nothing else
    Given a gateway before two plain upstreams and three engines
    When an engine backs off from this instance
    Then it is left out of choices of its own, and is in those for a peer
    And a question to the placer names it as one to avoid
