Feature: Responses of upstreams that trickle in
  Real gateway processes and the store's stand-in. A byte or a part comes every 0.1 s.

  # Guards against time limits that start anew with each byte.
  Scenario Outline: <kind> whose answers trickle in with <data> end with their deadlines
    Given the store's stand-in with a routing configuration and 2 upstreams
    And an upstream whose answers to <kind> trickle in with <data> without end
    And a gateway process with 150 MB of memory
    When 6 callers send it <kind> that may take 1.2 s
    Then each of them ends within 1.5 s of its deadline, and none as complete
    And another call is served afterwards

    Examples:
      | kind    | data                  |
      | calls   | a header's value      |
      | calls   | interim responses     |
      | calls   | a body without length |
      | calls   | a body in chunks      |
      | streams | a header's value      |
      | streams | interim responses     |
      | streams | an event              |
      | streams | a trailer             |
      | streams | comments              |
