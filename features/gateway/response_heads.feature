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
