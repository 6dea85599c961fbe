Feature: Streams of engines that send without end
  Real gateway processes with 150 MB of memory and the store's stand-in. The engine has sent the
  head of its response.

  # Guards against streams that outgrow the memory, keep others waiting, or look complete.
  Scenario Outline: streams that contain <data> without end <end>
    Given the store's stand-in with a routing configuration and 2 upstreams
    And an engine whose streams contain <data> without end
    And a gateway process with 150 MB of memory
    When <count> callers read its streams, and 4 call others
    Then another call is served meanwhile
    And it has waited less than 1 s
    And the streams <end>
    And another call is served afterwards
    And the process has kept within its memory and 200 descriptors

    Examples:
      | data                             | count | end                             |
      | an event                         | 40    | are broken off visibly          |
      | an event without framing         | 40    | are broken off visibly          |
      | an event of lines                | 40    | are broken off visibly          |
      | comment lines                    | 40    | are broken off visibly          |
      | an event in chunks of one byte   | 24    | are broken off visibly          |
      | an event in chunks of two bytes  | 24    | are broken off visibly          |
      | a chunk extension after an event | 40    | are broken off visibly          |
      | a trailer after an event         | 40    | are broken off visibly          |
      | interim responses after an event | 40    | are broken off visibly          |
      | bytes after its end              | 40    | end whole                       |
      | interim responses after its end  | 40    | end whole                       |
      | events                           | 24    | go on until their callers leave |
      | many events in each chunk        | 24    | go on until their callers leave |
      | events without framing           | 24    | go on until their callers leave |
      | comments                         | 24    | go on until their callers leave |
      | repeated events                  | 24    | go on until their callers leave |
      | large events                     | 4     | go on until their callers leave |
      | large events without framing     | 4     | go on until their callers leave |
