Feature: Upstreams and stores that send without end
  Real gateway processes with 150 MB of memory and the store's stand-in. Half of the calls are
  routed to upstreams that send without end; their route allows 30 seconds.

  # Guards against callers without an answer, and processes that outgrow their memory, while an
  # upstream sends a response without end.
  Scenario Outline: calls to an upstream that sends <data> without end are answered
    Given the store's stand-in with a routing configuration and 2 upstreams
    And an upstream that answers calls with <data> without end
    And a gateway process with 150 MB of memory
    When 4 calls to that upstream and 4 to others are sent
    Then another call is served meanwhile
    And each call to that upstream is answered before its caller gives up
    And another call is served afterwards
    And the process has kept within its memory and 100 descriptors

    Examples:
      | data                   |
      | a header's value       |
      | a header's name        |
      | header lines           |
      | chunks of one byte     |
      | chunks of two bytes    |
      | interim responses      |
      | a chunk extension      |
      | a trailer              |
      | trailer lines          |
      | a status line          |
      | a body without length  |
      | bytes that are no HTTP |
      | responses to another   |

  # Guards against the same with the response head of a stream.
  Scenario Outline: streams from an engine that sends <data> without end are answered
    Given the store's stand-in with a routing configuration and 2 upstreams
    And an engine that answers streams with <data> without end
    And a gateway process with 150 MB of memory
    When 4 streams from that engine and 4 calls to others are sent
    Then another call is served meanwhile
    And each call to that upstream is answered before its caller gives up
    And another call is served afterwards
    And the process has kept within its memory and 100 descriptors

    Examples:
      | data                   |
      | a header's value       |
      | a header's name        |
      | header lines           |
      | interim responses      |
      | a status line          |
      | bytes that are no HTTP |
      | responses to another   |

  # Guards against error responses of engines that are held in memory without a bound.
  Scenario: a stream whose engine sends an error without end is answered
    Given the store's stand-in with a routing configuration and 2 upstreams
    And an engine that answers streams with an error without end
    And a gateway process with 150 MB of memory
    When 4 streams from that engine and 4 calls to others are sent
    Then another call is served meanwhile
    And each call to that upstream is answered before its caller gives up
    And another call is served afterwards
    And the process has kept within its memory and 100 descriptors

  # Guards against bodies that are each within their limit, and exceed the memory together.
  Scenario: many calls to an upstream that sends bodies without end are answered
    Given the store's stand-in with a routing configuration and 2 upstreams
    And an upstream that answers calls with a body without length without end
    And a gateway process with 150 MB of memory
    When 40 calls to that upstream and 4 to others are sent
    Then another call is served meanwhile
    And each call to that upstream is answered before its caller gives up
    And another call is served afterwards
    And the process has kept within its memory and 200 descriptors

  # Guards against a store whose answer ends no wait, as its bytes never stop.
  Scenario Outline: a gateway serves on while the store answers with <data> without end
    Given the store's stand-in with a routing configuration and 2 upstreams
    And a gateway process with 150 MB of memory behind a proxy of the store
    When the store begins to answer with <data> without end
    Then another call is served meanwhile
    And the gateway gives up 3 such answers
    And another call is served afterwards
    And the process has kept within its memory and 100 descriptors

    Examples:
      | data                  |
      | a header's value      |
      | header lines          |
      | chunks of one byte    |
      | a body without length |

  # Guards against a report without end of an engine that is probed after a broken stream.
  Scenario Outline: a gateway serves on while an engine reports <data> without end
    Given the store's stand-in with a routing configuration and 2 upstreams
    And an engine that breaks streams off and answers probes with <data> without end
    And a gateway process with 150 MB of memory
    When a stream from that engine is broken off
    Then another call is served meanwhile
    And the gateway gives up 1 such report
    And another call is served afterwards
    And the process has kept within its memory and 100 descriptors

    Examples:
      | data                  |
      | a header's value      |
      | a body without length |
