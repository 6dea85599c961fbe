Feature: Validation of upstreams' responses
  One gateway with stand-ins of its upstreams, inside the test process. Each upstream signs its
  responses; a response without the signature may have been spoiled.

  Background:
    Given a gateway before two plain upstreams and three engines

  # Guards against unsigned responses that reach callers as they are, whatever their status.
  Scenario Outline: an unsigned response to a call that may run once is not passed on
    Given the first upstream of "r1" will answer <status> unsigned
    When "/once/a" is asked as "r1"
    Then the answer is 502 and promises nothing
    And "r1" has run on 1 upstreams

    Examples:
      | status |
      | 200    |
      | 204    |
      | 206    |
      | 301    |
      | 404    |
      | 408    |
      | 429    |
      | 500    |
      | 503    |

  # Guards against unsigned responses that end a safe call which another upstream can serve.
  Scenario Outline: a safe call with an unsigned response is sent to another upstream
    Given the first upstream of "r1" will answer <status> unsigned
    When "/safe/a" is asked as "r1"
    Then the answer is 200 "whole" with the upstream's seal
    And "r1" has run on 2 upstreams

    Examples:
      | status |
      | 200    |
      | 206    |
      | 404    |
      | 429    |
      | 503    |

  # Guards against retries beyond the budget after unsigned responses.
  Scenario: a safe call with an unsigned response is not sent again without a retry budget
    Given the first upstream of "r1" will answer 200 unsigned
    And no repeats are left in the common budget
    When "/safe/a" is asked as "r1"
    Then the answer is 502 and promises nothing
    And "r1" has run on 1 upstreams

  # Guards against other bytes than the upstream's body, and a signature that does not reach callers.
  Scenario Outline: a response <spoiled> is checked before it is passed on
    Given the first upstream of "r1" will answer <spoiled>
    When "/once/a" is asked as "r1"
    Then the answer is <answer>

    Examples:
      | spoiled                            | answer                             |
      | with an empty signature            | 502 and promises nothing           |
      | with a content coding              | 502 and promises nothing           |
      | with the identity content coding   | 200 "whole" with the upstream's seal |
      | with its signature named hop-by-hop | 200 "whole" with the upstream's seal |

  # Guards against unsigned streams.
  Scenario: a stream without a signature is not passed on
    Given the engine of "s1" will answer 200 unsigned
    When "/stream/a" is asked as "s1"
    Then the answer is 502 and promises nothing
    And "s1" has run on 1 upstreams

  # Guards against a resumed stream that goes on with an unsigned response.
  Scenario: a stream that resumes at an unsigned response is broken off
    Given stream "s1" breaks off after 3 events, and its replica answers unsigned
    When "/stream/a" is asked as "s1"
    Then the stream has 3 events and does not look complete

  # Guards against signals in responses that are not the upstream's.
  Scenario: the signals of an unsigned response are ignored
    Given the first upstream of "r1" will answer 503 unsigned, with a back-off, a limit and a leaving signal
    When "/once/a" is asked as "r1"
    Then the answer is 502 and promises nothing
    And no upstream is in back-off, limited or leaving

  # Guards against services without upstreams after a few unsigned responses.
  Scenario: an unsigned response is logged and counted, and ejects no upstream
    Given the first upstream of "r1" will answer 200 unsigned
    And log lines are recorded
    When "/once/a" is asked as "r1"
    Then the unsigned response of "r1" is logged and counted
    And no upstream is ejected, suspected or held against "r1"

  # Guards against a status that promises callers what the upstream did not state.
  Scenario Outline: a status alone does not promise that a request has not run
    Given the first upstream of "r1" will answer <status> without a statement
    When "<path>" is asked as "r1"
    Then the answer is 502 and promises nothing
    And "r1" has run on 1 upstreams

    Examples:
      | path      | status |
      | /once/a   | 408    |
      | /once/a   | 429    |
      | /once/a   | 503    |
      | /stream/a | 429    |
      | /stream/a | 503    |

  # Guards against streams without an end of an event, which occupy the process and its memory.
  Scenario: a stream whose event grows without an end is broken off
    Given the engine of "s1" will send an event of 12 MB
    When "/stream/a" is asked as "s1"
    Then the stream has 0 events and does not look complete
    And the engine of "s1" could not send all of it

  # Guards against ends of events that are missed between two pieces.
  Scenario: events are found however the pieces of a stream are cut
    When streams of drawn bytes arrive in drawn pieces
    Then the events are those of the whole streams

  # Guards against ids that can't be converted to numbers.
  Scenario Outline: an event with the id <id> is relayed
    When an event with the id <id> arrives
    Then it is relayed as the next one

    Examples:
      | id                    |
      | ²                     |
      | 9 repeated 5000 times |
