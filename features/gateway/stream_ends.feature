Feature: How streams end
  A gateway in the test process with engines that frame their streams in each way, and end them in each way and place. Each
  event must reach its caller before the engine sends the next one, or ends the stream.

  # Guards against sound streams that are broken off.
  Scenario Outline: a sound stream framed with <framing> arrives whole
    Given engines that frame streams with <framing>
    When a stream <backups> a backup is "whole" at its first engine
    Then each caller gets the whole stream
    And each stream has run on 1 engines

    Examples:
      | framing                     | backups |
      | a length                    | without |
      | chunks                      | without |

  # Guards against sound streams without framing that lose events, or end in order without evidence.
  Scenario: a sound stream framed with neither a length nor chunks, without a backup, arrives with every event and no end
    Given engines that frame streams with neither a length nor chunks
    When a stream without a backup is "whole" at its first engine
    Then each caller gets every event, and no end
    And each stream has run on 1 engines

  # Guards against sound streams without framing that are broken off although a further run shows that they are whole.
  Scenario: a sound stream framed with neither a length nor chunks, with a backup that adds nothing in chunks, arrives whole
    Given engines that frame streams with neither a length nor chunks
    When a stream with a backup is "whole" at its first engine
    Then each caller gets the whole stream
    And each stream has run on 2 engines

  # Guards against the end of a connection that is taken for the end of the stream.
  Scenario Outline: a stream without a backup, framed with <framing>, that is "<ending>" ends visibly early
    Given engines that frame streams with <framing>
    When a stream without a backup is "<ending>" at its first engine
    Then no caller gets an end

    Examples:
      | framing                     | ending                          |
      | a length or chunks          | closed                          |
      | any framing                 | reset                           |
      | a length or chunks          | process gone                    |
      | neither a length nor chunks | process gone                    |
      | neither a length nor chunks | process gone, connections first |
      | neither a length nor chunks | process restarted               |
      | any framing                 | silent                          |

  # Guards against the loss of the rest of a stream whose upstream's process has ended.
  Scenario Outline: a stream with a backup, framed with <framing>, that is "<ending>" resumes
    Given engines that frame streams with <framing>
    And streams that end <place>
    When a stream with a backup is "<ending>" at its first engine
    Then each caller gets the whole stream
    And each stream has run on 2 engines

    Examples:
      | framing                     | ending                          | place              |
      | a length or chunks          | closed                          | after whole events |
      | any framing                 | closed                          | inside an event    |
      | any framing                 | reset                           | after whole events |
      | any framing                 | process gone                    | after whole events |
      | any framing                 | process gone                    | inside an event    |
      | any framing                 | process gone, connections first | after whole events |
      | neither a length nor chunks | process restarted               | after whole events |

  # Guards against a break before any event, when no backup exists, that looks like an empty stream.
  Scenario Outline: a stream with a backup that is "<ending>" before its first event is not taken for whole
    Given engines that frame streams with any framing
    And streams that end right after its head
    When a stream with a backup is "<ending>" at its first engine
    Then no caller gets a stream as whole that is not

    Examples:
      | ending                          |
      | closed                          |
      | reset                           |
      | process gone                    |
      | process gone, connections first |
      | process restarted               |

  # Guards against a resumed run whose end is believed because an earlier run had sent events.
  Scenario Outline: a resumed stream, framed with <framing>, that is "<ending>" is not taken for whole
    Given engines that frame streams with <framing>
    When a stream that has resumed is "<ending>" at its second engine
    Then no caller gets a stream as whole that is not

    Examples:
      | framing                     | ending                          |
      | a length or chunks          | closed                          |
      | any framing                 | reset                           |
      | a length or chunks          | process gone                    |
      | neither a length nor chunks | process gone                    |
      | neither a length nor chunks | process gone, connections first |
      | neither a length nor chunks | process restarted               |

  # Guards against a connection that is closed in place of a resumed run and taken for its end.
  Scenario: a resumed run without framing that closes right after its head is not taken for whole
    Given engines that frame streams with neither a length nor chunks
    And streams that end right after its head
    When a stream that has resumed is "closed" at its second engine
    Then no caller gets a stream as whole that is not

  # Guards against a resumed stream that is broken off although its second run is sound.
  Scenario Outline: a resumed stream, framed with <framing>, is whole with its second run
    Given engines that frame streams with <framing>
    When a stream that has resumed is "whole" at its second engine
    Then each caller gets the whole stream
    And each stream has run on <count> engines

    Examples:
      | framing                     | count |
      | a length or chunks          | 2     |
      | neither a length nor chunks | 3     |

  # Guards against the same with a stream that has lost two runs.
  Scenario Outline: a stream that has resumed twice, framed with <framing>, that is "<ending>" is not taken for whole
    Given engines that frame streams with <framing>
    When a stream that has resumed twice is "<ending>" at its third engine
    Then no caller gets a stream as whole that is not
    And each stream has begun on 3 engines

    Examples:
      | framing                     | ending                          |
      | a length or chunks          | closed                          |
      | any framing                 | reset                           |
      | neither a length nor chunks | process gone                    |
      | neither a length nor chunks | process gone, connections first |
      | neither a length nor chunks | process restarted               |

  Scenario Outline: a stream that has resumed twice, framed with <framing>, gets <what> with its third run
    Given engines that frame streams with <framing>
    When a stream that has resumed twice is "whole" at its third engine
    Then each caller gets <what>
    And each stream has begun on 3 engines

    Examples:
      | framing                     | what                    |
      | a length or chunks          | the whole stream        |
      | neither a length nor chunks | every event, and no end |

  # Guards against a truncated error response that is passed on with a length of its own.
  Scenario Outline: an error response without framing that is "<ending>" is answered in its place
    When an error response without framing is "<ending>" at an engine
    Then the caller is told that the request may have run

    Examples:
      | ending                          |
      | reset                           |
      | process gone                    |
      | process gone, connections first |
      | process restarted               |

  # Guards against sound error responses that are replaced because they state no end.
  Scenario: a sound error response without framing arrives whole
    When an error response without framing is "whole" at an engine
    Then the error response arrives whole
