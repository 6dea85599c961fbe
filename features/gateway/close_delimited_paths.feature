Feature: Close-delimited streams on less usual paths
  One gateway with stand-ins of its upstreams, inside the test process. No engine keeps a copy, so that a truncated stream can't resume.

  # Guards against a stream behind a peer that is stated to be whole, or that ends in the same way when it is truncated.
  Scenario Outline: a stream without framing through a peer is <told> as <fault> after event 3
    Given a gateway with two peers that reach its upstreams
    And its connections to upstreams reset
    When a stream without framing comes through a peer, and <fault> after event 3
    Then its caller got events 1 to <last> without framing, and its connection was <told>

    Examples:
      | fault                                   | last | told            |
      | its upstream goes on                    | 5    | reset           |
      | its upstream closes it                  | 3    | reset           |
      | its upstream closes it and ends         | 3    | reset           |
      | its peer dies                           | 3    | reset           |
      | all peers die as its upstream closes it | 3    | reset           |

  # Guards against the rest of a stream that its caller resumes, and that is told in stronger terms than it came in.
  Scenario Outline: the rest of a stream without framing that its caller resumes after event 5 is <told> as its upstream <ends>
    Given a gateway before two plain upstreams and three engines
    And callers may resume streams
    When a caller that has received event 5 resumes a stream without framing, and its upstream <ends>
    Then its caller got events 6 to <last> without framing, and its connection was <told>

    Examples:
      | ends                           | last | told            |
      | sends the rest up to event 8   | 8    | reset           |
      | closes it after event 6        | 6    | reset           |
      | closes it after event 6, and ends | 6 | reset           |
      | closes it after its head       | 5    | reset           |
