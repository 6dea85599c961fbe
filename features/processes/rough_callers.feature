Feature: Callers of the own interface that exhaust memory, processor time or descriptors
  Real processes on loopback; a crowd sends at once and keeps its connections open.

  Background:
    Given the own interface before a plain service

  # Guards against unfinished bodies of many callers that together exhaust the memory.
  Scenario: chunked bodies held open at the own interface stay within its memory
    When 100 callers of the own interface each send 30 chunks of 64 KiB and stop
    Then the own interface answers an ordinary call beside the crowd and after it
    And the own interface has used at most 160 MB and 300 descriptors

  # Guards against bodies whose chunks take many times their own size in memory, or all processor time.
  Scenario Outline: bodies in chunks of <size> at the own interface stay within its memory
    When 40 callers of the own interface each send <count> chunks of <size> and stop
    Then the own interface answers an ordinary call beside the crowd and after it
    And the own interface has used at most 160 MB and 300 descriptors

    Examples:
      | size  | count  |
      | 2 B   | 100000 |
      | 1 B   | 150000 |

  # Guards against heads and framing without end, which no limit of a body counts.
  Scenario Outline: <kind> without end at the own interface
    When 40 callers of the own interface each send 6 MB of <kind>
    Then the own interface answers an ordinary call beside the crowd and after it
    And the own interface has used at most 160 MB and 300 descriptors

    Examples:
      | kind              |
      | a header value    |
      | header lines      |
      | long header lines |
      | a request line    |
      | empty lines       |
      | a chunk extension |
      | chunk extensions  |
      | a trailer         |
      | trailers          |

  # Guards against a listener that takes the last descriptor, or no more connections.
  Scenario: silent connections beyond the descriptors of the own interface
    Given the own interface is restarted with 256 descriptors
    When 400 callers of the own interface connect and send nothing
    Then the own interface answers an ordinary call beside the crowd and after it
    And the own interface has used at most 160 MB and 240 descriptors

  # Guards against a limit of connections that silent ones use up.
  Scenario: silent connections beyond the limit of connections of the own interface
    Given the own interface is restarted with "--max-connections=50"
    When 100 callers of the own interface connect and send nothing
    Then the own interface answers an ordinary call beside the crowd and after it
    And the own interface has used at most 160 MB and 120 descriptors

  # Guards against requests that never end, as a byte arrives now and then.
  Scenario Outline: <part> that trickles at the own interface
    Given the own interface is restarted with "--read-timeout=2"
    When 20 callers of the own interface each trickle <part>
    Then the own interface closes the connections of the crowd
    And the own interface answers an ordinary call beside the crowd and after it
    And the own interface has used at most 160 MB and 60 descriptors

    Examples:
      | part   |
      | a head |
      | a body |

  # Guards against limits that reject what one caller may send.
  Scenario Outline: a body in chunks of <size> is served by the own interface in calm
    When a caller of the own interface sends a whole body in <count> chunks of <size>
    Then the own interface answers that call

    Examples:
      | size   | count |
      | 64 KiB | 30    |
      | 2 B    | 50000 |
      | 1 B    | 50000 |
