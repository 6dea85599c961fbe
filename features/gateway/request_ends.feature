Feature: How requests end
  A gateway in the test process, whose caller cuts a request at each byte after its head.

  # Guards against a body that its caller has cut, and that an upstream gets as a whole one.
  Scenario Outline: a request with <body> that is cut and then <ending> reaches no upstream
    Given a gateway before two plain upstreams and three engines
    When a request with <body> is cut at each byte after its head, and its connection is <ending>
    Then no upstream has received it
    And no caller has got a success

    Examples:
      | body                                | ending      |
      | a length                            | half-closed |
      | a length                            | closed      |
      | a length                            | reset       |
      | a length                            | left-open   |
      | chunks                              | half-closed |
      | chunks                              | closed      |
      | chunks                              | reset       |
      | chunks                              | left-open   |
      | chunks and a trailer                | half-closed |
      | chunks and a trailer                | left-open   |
      | chunks with extensions              | half-closed |
      | chunks with extensions              | left-open   |
      | a length that waits for a 100       | half-closed |
      | a length and an offer of an upgrade | half-closed |
      | a length and an offer of an upgrade | left-open   |
      | chunks and an offer of an upgrade   | half-closed |
      | chunks and an offer of an upgrade   | reset       |
      | chunks and an offer of an upgrade   | left-open   |

  # Guards against sound requests that are rejected with the cut ones, or lose their body.
  Scenario Outline: a request with <body> reaches an upstream whole, in pieces of <size> bytes
    Given a gateway before two plain upstreams and three engines
    When a request with <body> is sent in pieces of <size> bytes
    Then one upstream has received its method, path and whole body once

    Examples:
      | body                                | size  |
      | a length                            | 1     |
      | chunks                              | 1     |
      | chunks and a trailer                | 1     |
      | chunks with extensions              | 1     |
      | a length that waits for a 100       | 1000  |
      | a length and an offer of an upgrade | 1     |
      | a length and an offer of an upgrade | 1000  |
      | chunks and an offer of an upgrade   | 1     |
      | chunks and an offer of an upgrade   | 1000  |
      | an offer of an upgrade alone        | 1     |

  # Guards against a second request that is smuggled in what follows a body.
  Scenario: bytes after a body whose request offers an upgrade are no request
    Given a gateway before two plain upstreams and three engines
    When a request with a length and an offer of an upgrade is followed by another one
    Then one upstream has received its method, path and whole body once
