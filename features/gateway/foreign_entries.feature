Feature: What other writers put into the platform
  Other writers may store malformed objects: missing fields, wrong types, unknown states and services,
  bytes that are not UTF-8. Such an object is ignored, and all others still count.

  Scenario: an entry that is changed anywhere names no upstream, and nothing is coerced
    Then no drawn change of a whole entry is taken for an upstream, from seed 33

  Scenario Outline: whatever stands in an object, reading it fails in one way
    Then a drawn document of <kind> is decoded or reported, and nothing else, from seed 33

    Examples:
      | kind          |
      | an upstream   |
      | routes        |
      | a policy      |
      | an instance   |
      | a cordon      |

  Scenario Outline: a field that is not what it should be names no upstream
    Then an entry with <field> <value> is not used

    Examples:
      | field           | value            |
      | slots           | "6"              |
      | slots           | true             |
      | slots           | 0                |
      | slots           | 6.5              |
      | address         | 80               |
      | address         | "10.0.0.1"       |
      | zone            | ["a"]            |
      | zone            | ""               |
      | service         | null             |
      | state           | "Ready"          |
      | state           | 1                |
      | coldRemainingMs | "0"              |
      | coldRemainingMs | -1               |
      | seq             | null             |
      | born            | 1784909545.5     |
      | born            | "1784909545123"  |
      | born            | 0                |

  Scenario: an entry under a name that cannot stand in a header names no upstream
    Then an entry under the name "i-1\r\nX-Driftstall-Tenant: north" is not used

  Scenario: a row that cannot be read leaves the others of a list in force
    Given a store whose list holds a whole entry, rows that cannot be read, and bytes that are no text
    Then the list gives the whole entry alone, and goes on after its last name

  Scenario: a change that cannot be read has the whole list read again, and nothing is forgotten
    Given an instance that follows the platform, which lists "u1" and "u2"
    When the platform tells of a change that cannot be read
    Then "u1" takes requests
    And the list was read again

  Scenario: an object is logged once, however often it is listed
    Given a store that lists the same unreadable entry again and again
    When it was listed 5 times
    Then its reason was logged once

  Scenario: only the configuration's own object holds routes
    Given a store with routes of version 3, and another object with routes of version 9
    Then only version 3 is read
