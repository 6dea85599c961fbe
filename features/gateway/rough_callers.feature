Feature: Callers that exhaust memory, descriptors or processor time
  Real gateway processes with the store's stand-in, 100 MB of memory and 160 descriptors.

  Background:
    Given the store's stand-in with a routing configuration and 2 upstreams
    And the stored limits of requests are those of a calm day
    And a gateway process with 100 MB of memory and 160 descriptors

  # Guards against unfinished requests that together exceed the memory of the instance, and
  # against endless input that keeps it from serving others.
  Scenario Outline: an instance serves others beside <crowd>
    When <count> callers at the "<listener>" listener send <crowd>
    Then an ordinary call is answered beside them
    And the process has stayed within its memory and descriptors
    And an ordinary call is answered after them

    Examples:
      | crowd                              | count | listener  |
      | bodies in large chunks             | 40    | front     |
      | bodies in chunks of two bytes      | 24    | front     |
      | bodies in chunks of one byte       | 24    | front     |
      | a header value without end         | 24    | front     |
      | a header name without end          | 24    | front     |
      | header lines without end           | 60    | front     |
      | a target without end               | 24    | front     |
      | a trailer without end              | 24    | front     |
      | a chunk extension without end      | 60    | front     |
      | empty lines without end            | 60    | front     |
      | pipelined requests without end     | 24    | front     |
      | nothing at all                     | 300   | front     |
      | a directory's header without end   | 24    | directory |
      | a readiness header without end     | 24    | ready     |
      | requests for the directory in vain | 300   | directory |

  # Guards against whole answers that are held for callers that do not read them.
  Scenario: an instance serves others beside callers that do not read large answers
    When 12 callers ask for answers of 8 MiB and do not read them
    Then an ordinary call is answered beside them
    And the process has stayed within its memory and descriptors
    And an ordinary call is answered after them

  # Guards against limits that refuse a caller who keeps to those of the routing document.
  Scenario Outline: a request with the largest head and a body in <form> is served
    When one caller sends the largest head, and the largest body in <form>
    Then its call is answered
    And the process has stayed within its memory and descriptors

    Examples:
      | form                |
      | one piece           |
      | chunks of 64 KiB    |
      | chunks of 100 bytes |

  # Guards against a malformed target that leaves an unlogged error.
  Scenario: a target that is no URL closes its own connection alone
    When one caller at the "directory" listener sends the target "//["
    Then an ordinary call is answered beside them
    And the log has no traceback
