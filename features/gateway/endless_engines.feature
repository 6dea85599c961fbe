Feature: Engines that answer an instance's own requests without end
  Real gateway processes with 150 MB of memory, the store's stand-in and many such engines.

  # Guards against answers that are each within their limit, and exceed the memory together.
  Scenario Outline: a gateway serves on while <count> engines answer probes with <data> without end
    Given the store's stand-in with a routing configuration and 2 upstreams
    And <count> engines that answer probes with <data> without end
    And a gateway process with 150 MB of memory
    When 80 callers use their streams, and the engines are probed
    Then another call is served meanwhile
    And it has waited less than 1 s
    And at least 20 such answers have begun
    And the instance has given up all of them
    And another call is served afterwards
    And the process has kept within its memory and 200 descriptors

    Examples:
      | count | data                  |
      | 40    | a body without length |
      | 40    | a header's value      |
      | 40    | chunks of two bytes   |

  # Guards against the same with answers to orders to copy runs.
  Scenario Outline: a gateway serves on while <count> engines answer moves with <data> without end
    Given the store's stand-in with a routing configuration and 2 upstreams
    And <count> engines that answer moves with <data> without end
    And a gateway process with 150 MB of memory
    When 40 callers use their streams, and all engines but a new one leave
    Then another call is served meanwhile
    And it has waited less than 1 s
    And at least 20 such answers have begun
    And the instance has given up all of them
    And another call is served afterwards
    And the process has kept within its memory and 200 descriptors

    Examples:
      | count | data                  |
      | 40    | a body without length |
      | 40    | a header's value      |
