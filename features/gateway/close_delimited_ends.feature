Feature: Ends of close-delimited responses, as callers are told of them
  A gateway in the test process with upstreams that frame responses with neither a length nor chunks. Servers that stop close
  their connections first, and their processes end some time later, or never.

  # Guards against a stream that is told in chunks to be complete as its upstream closed it early and ended later.
  Scenario Outline: a stream without framing that is closed early <backups> a backup, by a process that ends <later>, is not stated to be complete
    When a stream without framing is closed early <backups> a backup, by a process that ends <later>
    Then its caller got what was sent, and no framing states that this is all

    Examples:
      | backups | later       |
      | without | 0.02 s later |
      | without | 0.08 s later |
      | without | 0.3 s later |
      | without | 1.5 s later |
      | without | never       |
      | with    | 0.08 s later |
      | with    | 0.3 s later |
      | with    | never       |

  # Guards against the last chunk of a resumed stream that rests on the close of a connection alone.
  Scenario Outline: a stream in chunks that resumes at an upstream without framing, which closes it early <place>, is not stated to be complete
    When a stream in chunks resumes at an upstream without framing, which closes it early <place>
    Then its caller got what was sent, without the end of its framing

    Examples:
      | place              |
      | right after its head |
      | after whole events |
      | inside an event    |

  # Guards against a stream that is broken off although a further run could state its end.
  Scenario: a stream in chunks that was closed early at an upstream without framing resumes once more
    When a stream in chunks resumes at an upstream without framing, and at one with chunks
    Then its caller gets the whole stream in chunks
    And it has run on 3 engines

  # Guards against streams that wait for a last chunk although their response ends with its connection.
  Scenario: a stream without framing that resumes at an upstream with chunks ends with its connection
    When a stream without framing resumes at an upstream with chunks, which is whole
    Then its caller gets the whole stream, which ends with its connection

  # Guards against sound streams that lose events, or that end in order although nothing shows that they are whole.
  Scenario: a sound stream without framing arrives with every event, and is reset
    When a sound stream is sent without framing
    Then its caller got every event, and its connection was reset

  # Guards against a truncated stream that ends in the same way as a whole one.
  Scenario Outline: a stream without framing and without a backup that is "<ending>" early is reset
    When a stream without framing and without a backup is "<ending>" early
    Then its caller got what was sent, and its connection was reset

    Examples:
      | ending            |
      | process gone      |
      | process restarted |
      | reset             |

  # Guards against the loss of the rest of a stream whose upstream states that it is leaving.
  Scenario Outline: a stream without framing that is closed early by an upstream that <states> resumes at its backup
    When a stream without framing is closed early by an upstream that <states>
    Then its caller gets the whole stream, which ends with its connection
    And it has run on 2 engines

    Examples:
      | states                            |
      | reports that it is draining       |
      | reports when it ends              |
      | was announced to leave            |

  # Guards against sound streams that lose events or run twice as their upstream is leaving, or that end in order without evidence.
  Scenario: a sound stream without framing of an upstream that reports that it is draining arrives with every event, and is reset
    When a sound stream is sent without framing, by an upstream that reports that it is draining
    Then its caller got every event, and its connection was reset

  # Guards against chunks that a caller of HTTP/1.0 takes for parts of events.
  Scenario Outline: a stream in chunks ends with the connection of a caller of HTTP/1.0: <ending>
    When a caller of HTTP/1.0 sends a stream that is "<ending>" in chunks
    Then its response has no framing, and is <told>

    Examples:
      | ending | told            |
      | whole  | closed in order |
      | reset  | reset           |

  # Guards against a response to a call with a computed length, whose upstream closed it early and ended later.
  Scenario Outline: a <kind> call without framing that is closed early, by a process that ends <later>, is not stated to be complete
    When a <kind> call without framing is closed early, by a process that ends <later>
    Then its caller got a part of the body, and no framing states that this is all

    Examples:
      | kind   | later        |
      | safe   | 0.08 s later |
      | safe   | 0.3 s later  |
      | safe   | never        |
      | unsafe | 0.08 s later |
      | unsafe | 0.3 s later  |
      | unsafe | never        |

  # Guards against a head that states a length of zero for a body that was closed before its first byte.
  Scenario: a call without framing that is closed right after its head has no length
    When an unsafe call without framing is closed right after its head
    Then its caller got an empty body that ends with its connection

  # Guards against sound calls that are stated to be complete in stronger terms than their upstreams'.
  Scenario: a sound call without framing ends with its connection
    When a sound call without framing is made
    Then its caller got the whole body, which ends with its connection

  # Guards against error responses with a computed length.
  Scenario: an error response to a stream without framing ends with its connection
    When an error response without framing answers a stream
    Then its caller got the error, which ends with its connection

  # Guards against a response that looks whole as its instance has ended unexpectedly within it.
  Scenario: a stream without framing that an unexpected error ends is reset
    When an unexpected error ends a stream without framing
    Then its caller got what was sent, and its connection was reset

  # Guards against a response that looks whole as its caller did not read it in time.
  Scenario: a stream without framing whose memory is needed for others is reset
    When the output of a stream without framing is dropped as its memory is needed
    Then the connection of its caller is reset
