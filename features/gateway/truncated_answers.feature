Feature: Truncated answers to an instance's own requests
  The client of the store, of engines' own calls and of the own interface's runners, in the test
  process. Its peer cuts its answers at each byte, with a length, with chunks and with neither.

  # Guards against a response that is cut when its process ends, and told to the caller as whole.
  Scenario Outline: <what> is not whole if its answer ends early
    Given a peer that cuts its answers
    When <what> is read whose answer ends early by "closed"
    Then no truncated answer is taken for a whole one
    When <what> is read whose answer ends early by "reset"
    Then no truncated answer is taken for a whole one
    When <what> is read whose answer ends early by "process gone"
    Then no truncated answer is taken for a whole one

    Examples:
      | what                   |
      | a service call         |
      | a generation           |
      | a load report          |
      | cache events           |
      | a list of the store    |
      | a watch of the store   |
      | an object of the store |
      | a write to the store   |
      | a move                 |
      | an engine's state      |

  # Guards against sound answers that are rejected with the truncated ones.
  Scenario Outline: <what> framed by <framing> is read whole
    Given a peer that cuts its answers
    When <what> is read whose answer ends whole, framed by "<framing>"
    Then it is read

    Examples:
      | what                   | framing  |
      | a service call         | a length |
      | a service call         | chunks   |
      | a generation           | a length |
      | a generation           | chunks   |
      | a generation           | neither  |
      | a load report          | chunks   |
      | a load report          | neither  |
      | cache events           | neither  |
      | a list of the store    | a length |
      | a list of the store    | chunks   |
      | a list of the store    | neither  |
      | a watch of the store   | neither  |
      | an object of the store | neither  |
      | a write to the store   | neither  |
      | a move                 | a length |
      | a move                 | neither  |
      | an engine's state      | neither  |

  # An answer of a service that ends with its connection has no other sign of its end, and the own
  # interface gives a process no id by which a restarted one could be told from it.
  Scenario: a service call framed by neither is broken
    Given a peer that cuts its answers
    When a service call is read whose answer ends whole, framed by "neither"
    Then it is broken

  # Guards against sound answers without a sign of their end, as servers that are asked to close the
  # connection leave out chunks.
  Scenario: a service that closes only if asked to frames its answers
    Given a peer that frames its answers only if it is to keep the connection
    When a service call is sent to it
    Then it is read
    And the connection is closed by the caller

  Scenario: a service call that falls silent is broken
    Given a peer that cuts its answers
    When a service call is read whose answer ends early by "silent"
    Then no truncated answer is taken for a whole one

  # Guards against a truncated list or watch that is decoded as a shorter one.
  Scenario: a truncated document of the store is none
    Then no part of a document that the store may answer with is a document
