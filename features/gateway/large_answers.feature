Feature: Large answers that are sound
  Real gateway processes with 150 MB of memory and the store's stand-in.

  # Guards against whole answers that are held unaccounted until they are sent.
  Scenario Outline: an instance serves others beside large answers with <framing>
    Given the store's stand-in with a routing configuration and 2 upstreams
    And a gateway process with 150 MB of memory
    When 24 callers read answers of 8 MiB with <framing>
    Then another call is served meanwhile
    And each of them gets a whole answer, a refusal or an error
    And another call is served afterwards
    And the process has kept within its memory and 200 descriptors

    Examples:
      | framing    |
      | a length   |
      | no framing |
