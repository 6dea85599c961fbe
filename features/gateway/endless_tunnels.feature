Feature: Tunnels to an upstream that sends without end
  A real gateway process with 150 MB of memory serves the tunnels; the near ends are in the test process.

  # Guards against bytes that the serving peer holds for a near end that reads slowly or nothing.
  Scenario Outline: a gateway serves on beside tunnels with <data> without end that nobody reads
    Given the store's stand-in with a routing configuration and 2 upstreams
    And an upstream that sends tunnels <data> without end
    And a gateway process with 150 MB of memory
    When a peer opens 40 tunnels to it
    Then another call is served meanwhile
    And it has waited less than 1 s
    And the process has kept within its memory and 200 descriptors

    Examples:
      | data     |
      | an event |
      | events   |

  # Guards against bytes that are held at either end of tunnels that are read.
  Scenario Outline: a gateway and its peer hold little of <data> without end in tunnels
    Given the store's stand-in with a routing configuration and 2 upstreams
    And an upstream that sends tunnels <data> without end
    And a gateway process with 150 MB of memory
    When a peer opens 40 tunnels to it
    And the peer reads them all
    Then its tunnels hold no more than two frames each, and its buffers end some responses
    And another call is served afterwards
    And it has waited less than 1 s
    And the process has kept within its memory and 200 descriptors

    Examples:
      | data                     |
      | an event                 |
      | an event without framing |
