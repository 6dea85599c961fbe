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

  # Guards against whole streams that are reset although their backup shows that they are whole.
  Scenario: a whole stream without framing whose backup has dropped its copy ends in order
    When a whole stream without framing ends, and its backup refuses it
    Then its caller gets the whole stream, which ends with its connection
    And it has run on 1 engines

  # Guards against a last chunk for a run whose response has lost the framing that its service uses.
  Scenario: a stream in chunks that resumes without framing, whose backup has dropped its copy, is broken off
    When a stream in chunks resumes without framing and is whole, and its backup refuses it
    Then its caller got every event, without the end of its framing

  # Guards against a refusal that is taken for evidence although the backup may have had another reason.
  Scenario Outline: a stream without framing whose backup refuses it for a reason that may be another one is reset
    When a stream without framing ends, and its backup refuses it, but <objection>
    Then its caller got every event, and its connection was reset
    And the refusal shows nothing because of <name>

    Examples:
      | objection                                          | name           |
      | no backup was seen to keep a copy                  | UNSEEN_COPIES  |
      | its report has no memory                           | UNKNOWN_MEMORY |
      | its report can't be read                           | UNKNOWN_MEMORY |
      | it has no room for a copy                          | NO_ROOM        |
      | its slots are taken                                | BUSY           |
      | requests wait there                                | BUSY           |
      | it is draining                                     | BUSY           |
      | it requests a back-off                             | SIGNALS        |
      | the run produced events for 0.7 s only             | SHORT          |
      | the run ended 0.8 s after its last event           | LATE_END       |
      | a pause of the run was longer than copies are kept | PAUSE          |
      | the run ended less than 1 s before its deadline    | DEADLINE       |
      | its caller reads slowly                            | SLOW_CALLER    |
      | the process of the run is silent                   | PROCESS        |
      | other streams of the service are framed            | FRAMED_SERVICE |
      | it is not known how long copies are kept           | PAUSE          |

  # Guards against a refusal that is taken for evidence although the process of the run has ended.
  Scenario: a stream without framing whose process has ended is reset, though its backup refuses it
    When a stream without framing ends, and its backup refuses it, but the process of the run has ended
    Then its caller got every event, and its connection was reset

  # Guards against an orderly end as the budget of retries allowed no question to the backup.
  Scenario: a whole stream without framing is reset if no retry is left to ask its backup
    When a whole stream without framing ends, and no retry is left
    Then its caller got every event, and its connection was reset

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
