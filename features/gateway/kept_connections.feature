Feature: Upstreams that keep their connections open after a response
  An upstream that is asked to close its connection may leave out the framing and end the response
  with the connection. The gateway therefore does not ask; it closes the connection itself.

  # Guards against truncated responses that look complete because the request made the upstream
  # leave out their framing.
  Scenario Outline: <request> that breaks off at an upstream which frames on open connections only
    Given a gateway before two plain upstreams and three engines
    And upstreams that frame responses only if their connection stays open, and break off
    When "<path>" is asked of them as "r1"
    Then no success was received that looks complete

    Examples:
      | request                       | path      |
      | a safe call                   | /safe/a   |
      | a call that may run only once | /once/a   |
      | a stream                      | /stream/a |

  # Guards against callers that wait for the end of an upstream's connection after a response.
  Scenario Outline: <response> is passed on while its connection stays open
    Given a gateway before two plain upstreams and three engines
    And upstreams that send <response> and keep the connection open
    When "/once/a" is asked of them as "r1"
    Then the answer is <status> "<body>", within a second
    And the connection was closed without another byte

    Examples:
      | response                                  | status | body  |
      | a length                                  | 200    | whole |
      | chunks                                    | 200    | whole |
      | chunks with a trailer                     | 200    | whole |
      | a length of zero                          | 200    |       |
      | status 204                                | 204    |       |
      | status 304                                | 304    |       |
      | status 304 with a length                  | 304    |       |
      | HTTP/1.0 and a length                     | 200    | whole |
      | a length, and more bytes after it         | 200    | whole |
      | a length, and another response after it   | 200    | whole |
      | another response before it                | 200    | whole |
      | an interim response before it             | 200    | whole |
      | a keep-alive time                         | 200    | whole |

  # Guards against HEAD requests that wait for a body, and get a 502 or 504 from a sound upstream.
  Scenario Outline: a response to HEAD with <framing> is passed on without a body
    Given a gateway before two plain upstreams and three engines
    And upstreams that send the head of <framing> and keep the connection open
    When HEAD "/once/a" is asked of them as "r1"
    Then the answer is 200 "", within a second
    And the connection was closed without another byte

    Examples:
      | framing                                     |
      | a length                                    |
      | chunks                                      |
      | neither                                     |
      | a length, after the response to another     |

  # Guards against streams that wait for the end of an upstream's connection.
  Scenario: a stream is passed on while its connection stays open
    Given a gateway before two plain upstreams and three engines
    And upstreams that send two events in chunks and keep the connection open
    When "/stream/a" is asked of them as "s1"
    Then the stream of 2 events is whole, within a second
    And the connection was closed without another byte

  # Guards against tunnels that stay open at a peer once their near end has closed them.
  Scenario: a tunnel whose near end closes first is closed at once
    Given a gateway with two peers that reach its upstreams
    And its connections to upstreams reset
    And upstreams that send a length and keep the connection open
    When 20 calls are asked of them at once
    Then they are all answered 200 "whole", within a second
    And the peers' tunnels and their connections are closed within 0.5 s

  # Guards against connections to upstreams that stay open after their responses.
  Scenario: a gateway process keeps no connection to upstreams after 500 calls
    Given the store's stand-in with a routing configuration and 2 upstreams
    And an upstream that keeps its connections open
    And a gateway process
    When 500 calls to it are served by 10 callers
    Then it was released by all connections
    And the process has at most 4 descriptors more than before them
