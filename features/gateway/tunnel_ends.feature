Feature: Ends of tunnels
  A gateway process serves a tunnel to an upstream. The near end, and the upstream, are inside the test
  process.

  # Guards against tunnels whose end says more than that of the upstream's connection.
  Scenario Outline: a response with <framing> whose upstream ends "<ending>" is <result> at the near end
    Given the store's stand-in with a routing configuration and 2 upstreams
    And an upstream that frames with <framing> and ends "<ending>" after 7 of 20 events
    And a gateway process that serves a tunnel to it
    When a stream is read through the tunnel to its end
    Then it has <events> events and is <result>

    Examples:
      | framing | ending                          | events | result     |
      | chunks  | whole                           | 20     | whole      |
      | chunks  | closed                          | 7      | broken off |
      | chunks  | reset                           | 7      | broken off |
      | chunks  | process gone                    | 7      | broken off |
      | a length | closed                         | 7      | broken off |
      | neither | reset                           | 7      | broken off |
      | neither | whole                           | 20     | whole      |

  # Guards against an end of the tunnel that is taken for the end of the upstream's connection.
  Scenario Outline: a response with <framing> whose peer gets <signal> is not taken for whole
    Given the store's stand-in with a routing configuration and 2 upstreams
    And an upstream that frames with <framing> and ends "silent" after 7 of 20 events
    And a gateway process that serves a tunnel to it
    When a stream is read through the tunnel until event 7, and the process gets <signal>
    Then it has 7 events and is broken off

    Examples:
      | framing | signal  |
      | chunks  | SIGKILL |
      | chunks  | SIGTERM |
      | chunks  | SIGSTOP |
      | neither | SIGKILL |
      | neither | SIGTERM |
      | neither | SIGSTOP |

  # Guards against a tunnel that its peer closes, and that is taken for the end of the upstream's connection.
  Scenario Outline: a stream <framing> whose peer closes the tunnel as nothing is read is broken off
    Given a gateway with two peers that reach its upstreams
    And its connections to upstreams reset
    And stream "r1" will bring 16 MB <framing>, through peers that wait for 0.3 s
    When "/stream/a" is asked as "r1", and nothing is read until its peer has closed the tunnel
    Then its first events came in order, and no end

    Examples:
      | framing         |
      | in chunks       |
      | without framing |

  # Guards against partial frames that are taken for the end of the upstream's connection.
  Scenario: a tunnel that ends anywhere but after its end mark is broken off
    When tunnels of drawn bytes are cut at each byte, in drawn pieces
    Then only the whole ones end, and the others return what came before

  # Guards against an end mark inside the upstream's bytes, as a wrong frame length makes one.
  Scenario: a tunnel with bytes after its end mark is not taken for whole
    When tunnels of drawn bytes with an end mark before their last frame are read, in drawn pieces
    Then none of them ends in order

  # Guards against a reset that the sending of the request takes, so that the response behind it is read as if it had ended in order.
  Scenario: a response whose upstream resets its connection while more of the request is passed to it is broken off
    Given a tunnel to an upstream that resets its connection after a part of its response
    When more of the request is sent through the tunnel, and then its response is read
    Then the part of the response has come, and the tunnel has not ended in order

  # Guards against a sound response that is broken off as its upstream does not read the whole request.
  Scenario: a response with a length whose upstream does not read the whole request is whole
    Given a tunnel to an upstream that answers with a length and resets its connection
    When more of the request is sent through the tunnel, and then its response is read
    Then the response is whole by its length
