Feature: Evidence that streams without framing are whole
  A gateway in the test process with upstreams that frame streams with neither a length nor chunks. Callers take the orderly end of a
  connection for the end of the stream, so it needs evidence that the stream is whole; else the stream resumes, or is reset.

  # Guards against a truncated stream that ends in order as the process of its upstream lives on.
  Scenario Outline: a stream without framing and without a backup that nothing shows whole is reset
    When a stream without framing and without a backup is <sent>
    Then its caller got what was sent, and its connection was reset

    Examples:
      | sent                                             |
      | closed early                                     |
      | closed early, by a process that ends 0.02 s later |
      | closed early, by a process that ends 0.08 s later |
      | closed early, by a process that ends 0.3 s later |
      | closed early, by a process that ends 1.5 s later |
      | closed early, by a silent process                |
      | closed early, beside upstreams that use chunks   |
      | closed early, 0.15 s before its deadline         |

  # Guards against a truncated stream that ends in order after bytes that show a defect.
  Scenario: a stream without framing that is closed early after bytes that are no event is reset
    When a stream without framing and without a backup is closed early, after bytes that are no event
    Then its caller got these bytes after event 7, and its connection was reset

  # Guards against an orderly end without evidence: nothing tells this stream from a truncated one.
  Scenario: a whole stream without framing and without a backup is reset after its last event
    When a stream without framing and without a backup is whole
    Then its caller got every event, and its connection was reset

  # Guards against sound requests that are quarantined as no run of theirs counts as sound where a service never frames, and against
  # forecasts that no run there ends before its limit of tokens.
  Scenario Outline: a stream without framing that is reset counts as a run without a crash <if>
    When a stream without framing and without a backup is <sent>
    Then it counts as <count> run without a crash
    And the lengths of <count> runs are learned

    Examples:
      | sent                                              | count | if                                |
      | whole                                             | 1     | if its process lives              |
      | closed early                                      | 1     | also if it was closed early       |
      | closed early, by a silent process                 | 0     | but not if its process is silent  |
      | closed early, by a process that ends 0.02 s later | 0     | but not if its process has ended  |

  # Guards against a request that crashes its upstreams and is never found, as they close their connections first and end a little later.
  Scenario: a stream without framing whose process ends soon after it counts as no run without a crash
    When a stream without framing and without a backup is closed early, by a process that ends 0.3 s later
    Then it counts as 0 run without a crash

  # Guards against a stream that ends in order although its backup would resume it.
  Scenario Outline: a stream without framing that is closed early resumes at its backup
    When a stream without framing is closed early at <runs> engines, and the next one sends the rest in chunks
    Then its caller gets the whole stream, which ends with its connection
    And it has run on <all> engines

    Examples:
      | runs | all |
      | 1    | 2   |
      | 2    | 3   |

  # Guards against a pause of a stream that waits for further probes of a silent process, whose state is no evidence for it.
  Scenario: a stream without framing that a silent process closes early resumes soon
    When a stream without framing is closed early by a silent process, and its backup sends the rest in chunks
    Then its caller gets the whole stream, which ends with its connection
    And it took at most 1.2 s

  # Guards against the orderly end of a resumed run that may be truncated as well.
  Scenario Outline: a stream without framing that resumes at a backup without framing is reset
    When a stream without framing is closed early, and its backup sends <rest> without framing
    Then its caller got events 1 to <last>, and its connection was reset

    Examples:
      | rest                 | last |
      | the rest             | 20   |
      | a part of the rest   | 9    |
      | nothing              | 7    |

  # Guards against the refusal of a backup that is taken for evidence: a copy may never have been made, have had no room, or have expired.
  Scenario: a whole stream without framing whose backup refuses it is reset after its last event
    When a whole stream without framing ends, and its backup refuses it
    Then its caller got every event, and its connection was reset
    And it has run on 1 engines

  Scenario: a stream without framing that is closed early and whose backup refuses it is reset
    When a stream without framing is closed early, and its backup refuses it
    Then its caller got events 1 to 12, and its connection was reset

  # Guards against a last chunk that rests on the end of a resumed run without framing.
  Scenario: a stream in chunks that resumes without framing, and whose backup refuses it, is broken off
    When a stream in chunks resumes without framing and is whole, and its backup refuses it
    Then its caller got every event, without the end of its framing

  # Guards against an empty success that is taken for "nothing to add" by a backup that has events to add.
  Scenario: a stream without framing that is closed early does not end in order by an empty response of its backup with a length of zero
    When a stream without framing is closed early, and its backup answers with an empty success that is no stream
    Then its caller got events 1 to 7, and its connection was reset

  # Guards against events without a token that count toward the limit of tokens.
  Scenario: a stream without framing whose events are half pings does not reach its limit of tokens by these
    When a stream without framing and without a backup sends 7 of 14 events, each with a ping, and is closed
    Then its caller got that, and its connection was reset

  # Guards against a stream with another status of success that is relayed as an error response, with the end that it arrived with.
  Scenario Outline: a stream with another status of success that is closed early without framing does not end in order
    When a stream with status <status> without framing is closed early
    Then its caller gets no truncated success that ends in order

    Examples:
      | status |
      | 200    |
      | 201    |
      | 206    |

  # Guards against whole streams that are reset although they can have no further event.
  Scenario Outline: a stream without framing that has as many events as its request allows tokens ends in order
    When a stream without framing of 20 events is sent for a request of at most <tokens> tokens
    Then its caller got every event, and its connection was <told>

    Examples:
      | tokens | told            |
      | 20     | closed in order |
      | 21     | reset           |

  # Guards against a resumed run without framing that ends the stream of a caller without chunks in order.
  Scenario: a stream that a caller of HTTP/1.0 gets, and that resumes without framing, is reset
    When a caller of HTTP/1.0 gets a stream that breaks off in chunks, and that resumes without framing up to event 18
    Then its caller got events 1 to 18, and its connection was reset
