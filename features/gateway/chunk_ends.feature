Feature: Ends of chunked responses
  Responses are read from a scripted connection, in pieces of drawn sizes.

  # Guards against truncated responses that look complete because other bytes were taken for their
  # last chunk.
  Scenario Outline: only a last chunk ends a response, with <drawn> after a chunk
    When responses with <drawn> after a chunk are read
    Then those that ended have a last chunk

    Examples:
      | drawn                              |
      | any bytes                          |
      | bytes of chunk headers             |
      | a last chunk with changed bytes    |
      | a chunk with changed bytes         |
      | a cut chunk and another response   |

  # Guards against the same where a call or a stream is read.
  Scenario Outline: <request> whose chunks are followed by what is no last chunk is no success
    Given a gateway before two plain upstreams and three engines
    When chunks that are followed by what is no last chunk answer <request>
    Then none of the answers looks complete or promises anything

    Examples:
      | request                       |
      | a safe call                   |
      | a call that may run only once |
      | a stream                      |
