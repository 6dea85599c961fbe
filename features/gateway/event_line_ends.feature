Feature: Streams whose lines end with LF, CRLF or CR
  The format text/event-stream allows all three, and common servers write CRLF.

  Background:
    Given a gateway before two plain upstreams and three engines

  # Guards against streams that are broken off without an event, as no end of an event is found.
  Scenario Outline: events whose lines end with <line end> are relayed from pieces of <size> bytes
    Given "s1" will be sent 5 events with <line end> in pieces of <size> bytes
    When "/stream/a" is asked as "s1"
    Then all bytes of "s1" came unchanged, and the end

    Examples:
      | line end | size |
      | LF       | 1    |
      | CRLF     | 1    |
      | CR       | 1    |
      | CRLF     | 3    |
      | CR       | 7    |
      | CRLF     | 1000 |
      | CR       | 1000 |

  # Guards against events that are held back until the first byte of the next one.
  Scenario Outline: an event whose lines end with <line end> is relayed as soon as it is whole
    Given "s1" will be sent 2 events with <line end>, the second one after the first has arrived
    When a caller reads "s1" and reports its first event
    Then all bytes of "s1" came unchanged, and the end

    Examples:
      | line end |
      | LF       |
      | CRLF     |
      | CR       |

  # Guards against streams without an end of their last event that look complete.
  Scenario Outline: a stream that ends inside an event with <line end> does not look complete
    Given "s1" will be sent 2 events with <line end> without the last byte
    When "/stream/a" is asked as "s1"
    Then the stream has 1 event with <line end> and does not look complete

    Examples:
      | line end |
      | LF       |
      | CRLF     |
      | CR       |

  # Guards against resumed streams that are broken off, as line ends count as content.
  Scenario Outline: a stream resumes at an engine that writes <second> after <first>
    Given "s1" breaks off after 3 events with <first>, and is repeated and continued with <second>
    When "/stream/a" is asked as "s1"
    Then 3 events with <first> and 2 with <second> came, and the end

    Examples:
      | first | second |
      | LF    | CRLF   |
      | CRLF  | LF     |
      | CR    | CRLF   |

  # Guards against ends of events that are missed or invented between two pieces.
  Scenario: events with any line ends are found however the pieces of a stream are cut
    When streams of drawn line ends arrive in drawn pieces
    Then the events are those that the format defines
    And all their bytes are kept in order
