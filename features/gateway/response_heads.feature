Feature: Response heads that are cut short or malformed
  One gateway with stand-ins of its upstreams, inside the test process; some scenarios read from a
  scripted connection. What the caller gets for such a head is never a success, and never states
  that the request has not run.

  # Guards against successes with an empty or short body, and false promises, from a head that was
  # cut at any byte.
  Scenario Outline: <request> whose response head is cut at any byte, then <ending>, is no success
    Given a gateway before two plain upstreams and three engines
    When heads cut at each byte, then <ending>, answer <request>
    Then all are answered with an error, and may have run

    Examples:
      | request                       | ending |
      | a safe call                   | closed |
      | a safe call                   | reset  |
      | a safe call                   | kept   |
      | a call that may run only once | closed |
      | a call that may run only once | reset  |
      | a call that may run only once | kept   |
      | a stream                      | closed |
      | a stream                      | reset  |
      | a stream                      | kept   |

  # Guards against the same after interim responses and responses to other requests.
  Scenario Outline: no part of a head after <before> is taken for a head
    When heads after <before> are cut at each byte and arrive in drawn pieces
    Then none of them was read as a response to the request

    Examples:
      | before                   |
      | nothing                  |
      | an interim response      |
      | a response with a length |
      | a response in chunks     |

  # Guards against successes that take the framing and body of the response that follows a cut head.
  Scenario Outline: <request> whose head is cut at any byte, and followed by <second>, is no success
    Given a gateway before two plain upstreams and three engines
    When heads cut at each byte and followed by <second> answer <request>
    Then all are answered with an error, and may have run

    Examples:
      | request                       | second                          |
      | a call that may run only once | a server error without a body   |
      | a call that may run only once | a server error with a body      |
      | a call that may run only once | a response to another request   |
      | a stream                      | a server error without a body   |
      | a stream                      | a server error with a body      |
      | a stream                      | a response to another request   |

  # Guards against truncated responses that look complete because a line of the head lost its end,
  # and the framing became part of another field.
  Scenario Outline: <request> whose head has <framing> and a line without its end is no success
    Given a gateway before two plain upstreams and three engines
    When heads with <framing>, in each of which a line lost its end, answer <request>
    Then none of the answers looks complete or promises anything

    Examples:
      | request                       | framing  |
      | a safe call                   | a length |
      | a safe call                   | chunks   |
      | a call that may run only once | a length |
      | a call that may run only once | chunks   |
      | a stream                      | a length |
      | a stream                      | chunks   |

  # Guards against truncated responses that look complete because their head is ambiguous.
  Scenario Outline: <request> whose truncated response has a malformed head is no success
    Given a gateway before two plain upstreams and three engines
    When malformed heads of truncated responses answer <request>
    Then none of the answers looks complete or promises anything

    Examples:
      | request                       |
      | a safe call                   |
      | a call that may run only once |
      | a stream                      |

  # Guards against sound responses that are rejected for an unusual head.
  Scenario Outline: a response whose head <is unusual> is served
    Given a gateway before two plain upstreams and three engines
    And upstreams whose head <is unusual>
    When "/once/a" is asked of them as "r1"
    Then the answer is 200 "whole", within a second

    Examples:
      | is unusual                         |
      | has no reason phrase               |
      | names a protocol in a value        |
      | names framing fields in a value    |
      | has an upgrade that is not made    |
      | has no framing, and HTTP/1.0       |

  # Guards against callers that wait for an upstream which has sent what is no response, after what is
  # one, and keeps the connection open.
  Scenario Outline: <request> fails at once if an upstream sends <bytes> and keeps the connection open
    Given a gateway before two plain upstreams and three engines
    And upstreams that send <bytes> and are silent
    When "<path>" is asked of them as "r1"
    Then no success was received that looks complete
    And the answer came within a second

    Examples:
      | request                       | path      | bytes                              |
      | a call that may run only once | /once/a   | another response, then no HTTP     |
      | a call that may run only once | /once/a   | a piece of a body, then no chunk   |
      | a stream                      | /stream/a | an event, then no chunk            |
      | a stream                      | /stream/a | another response, then no HTTP     |
