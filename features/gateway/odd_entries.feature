Feature: An odd entry in the platform's store costs nothing but itself
  Other writers may store any JSON, also what common decoders reject. Real processes with the store's
  stand-in.

  Background:
    Given the store's stand-in with a routing configuration and 2 upstreams

  # Guards against one undecodable entry that keeps new instances from becoming ready.
  Scenario Outline: an instance starts although an entry of an upstream has <content>
    Given the store holds an upstream's entry with <content>
    And a gateway process
    Then it becomes ready and serves a call

    Examples:
      | content                  |
      | a number of 400 digits   |
      | a number of 5,000 digits |
      | an infinite number       |
      | a nesting of 950         |
      | a nesting of 5,000       |
      | a port of 99,999         |
      | a port of 5,000 digits   |
      | a name of a megabyte     |
      | a key that stands twice  |
      | half a surrogate pair    |

  # Guards against one undecodable entry that keeps running instances from following the store.
  Scenario Outline: running instances follow the store although an entry of <kind> has <content>
    Given a gateway process
    When an entry of <kind> with <content> is stored, and another upstream joins
    Then the instance uses the upstream that joined

    Examples:
      | kind              | content                  |
      | an upstream       | a number of 400 digits   |
      | an upstream       | a number of 5,000 digits |
      | an upstream       | an infinite number       |
      | an upstream       | a nesting of 950         |
      | an upstream       | a nesting of 5,000       |
      | an upstream       | half a surrogate pair    |
      | an instance       | a number of 5,000 digits |
      | an instance       | a nesting of 5,000       |
      | a cordon          | a nesting of 5,000       |
      | a policy          | a nesting of 5,000       |
      | a routing version | a nesting of 5,000       |
      | recorded crashes  | a number of 5,000 digits |
      | recorded crashes  | a nesting of 5,000       |

  # Guards against a row that takes its neighbours along when an answer is decoded.
  Scenario: any row of any feed is decoded or skipped alone
    Then drawn rows of each feed leave their neighbours in force, from seed 70

  # Guards against a configuration that is ignored for an unknown field.
  Scenario Outline: a configuration is in force although a field that nobody knows has <content>
    Then a configuration with <content> in an unknown field is decoded, here and at a peer

    Examples:
      | content                  |
      | a number of 400 digits   |
      | a number of 5,000 digits |
      | a nesting of 950         |
      | a nesting of 5,000       |
      | half a surrogate pair    |

  # Guards against names of objects that cannot be sent to other instances, and against records of
  # crashes that are lost as the one beside them cannot be deleted.
  Scenario: an object whose name is not printable is skipped alone
    Then an object named "\ud800" in any list of instances, cordons or crashes is skipped

  # Guards against a list that fails, or never ends, as its next page cannot be asked for.
  Scenario Outline: a list goes on after a page whose last name is <name>
    Given a store that pages its list after a name that is <name>
    Then the list ends with all valid rows, or with an error, after <pages> pages at most

    Examples:
      | name                      | pages |
      | half a surrogate pair     | 2     |
      | not UTF-8, and sent again | 2     |

  # Guards against figures of the store itself that leave the decoder.
  Scenario Outline: an answer whose revision is <revision> is reported as unavailable
    Then a list at revision <revision> is reported as unavailable

    Examples:
      | revision |
      | 1e999    |
      | LONG     |
      | true     |
      | -1       |
      | "9"      |

  # Guards against a probe that fails as the engine's report holds another type.
  Scenario: any report of an engine gives a state
    Then drawn reports of an engine give a state, from seed 70

  # Guards against decoding that takes time beyond all bounds and holds up the instance.
  Scenario: a string without an end is rejected at its first quote
    Then an answer with 100,000 escaped quotes and no end is rejected

  # Guards against a replica's handle that breaks the calls that name it.
  Scenario Outline: a handle that is <content> names no replica
    Then a copy whose engine answers with the handle <handle> has failed

    Examples:
      | content      | handle           |
      | a list       | [1]              |
      | a line break | "h\r\nPriority:0" |
      | too long     | "LONG"           |

  # Guards against a command that ends with a traceback.
  Scenario Outline: the command names an odd <kind> in the store
    Given the store holds an odd <kind>
    When the command "<arguments>" runs on the store
    Then it ends with 1 and names "<words>"

    Examples:
      | kind          | arguments   | words         |
      | policy        | policy show | no text       |
      | configuration | config show | configuration |
      | configuration | status      | configuration |
