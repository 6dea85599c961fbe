Feature: Ends of close-delimited streams whose upstream is leaving, and what follows an end
  A gateway in the test process with upstreams that frame responses with neither a length nor chunks.

  # Guards against whole streams that are reset as a backup that was not dropped yet has nothing to add.
  Scenario: a sound stream of an upstream that is draining, whose backup has nothing to add in chunks, arrives whole
    When a sound stream of a draining upstream resumes at a backup that has nothing to add, in chunks
    Then its caller gets the whole stream, which ends with its connection

  # Guards against an empty response that is taken for evidence: its connection may have been closed in place of the run.
  Scenario: a sound stream of an upstream that is draining, whose backup has nothing to add without framing, is reset
    When a sound stream of a draining upstream resumes at a backup that has nothing to add, without framing
    Then its caller got every event, and its connection was reset

  # Guards against a truncated stream that ends in order as its backup broke before its first event.
  Scenario Outline: a stream that is closed early by an upstream that is draining, and "<ending>" at its backup before any event, is reset
    When a stream that a draining upstream closes early is "<ending>" at its backup before any event
    Then its caller got what was sent, and its connection was reset

    Examples:
      | ending       |
      | reset        |
      | process gone |

  # Guards against a response that looks whole as its time was over.
  Scenario: a stream without framing that is silent until its deadline is reset
    When a stream without framing and without a backup is "silent" early
    Then its caller got what was sent, and its connection was reset

  # Guards against a whole response that is reset as further requests of its caller were not read.
  Scenario: a caller that sends further requests at once gets a whole response without framing
    When a sound call without framing is made, followed by 200 further requests
    Then its caller got the whole body, which ends with its connection

  # Guards against a part of a large response that is lost as its caller reads it late.
  Scenario: a caller that reads late gets a whole response without framing
    When a large call without framing is made, and its response is read 1 s later
    Then its caller got the large body, which ends with its connection

  # Guards against streams that lose events as their instance exits.
  Scenario: streams without framing arrive with every event when their gateway process is asked to stop
    Given the store's stand-in with a routing configuration and 2 upstreams
    And 3 engine processes whose streams end with their connection
    And a gateway process
    When 6 streams are under way, and the gateway process is asked to stop
    Then all of them arrive with every event, and are reset within 1.6 s after the last one

  # Guards against streams that count as completed although their callers left before the end.
  Scenario: a caller that leaves while a sound stream of an upstream that is draining resumes gets no end
    When the caller of a sound stream of a draining upstream leaves while it resumes
    Then no stream counts as completed

  # Guards against streams whose end waits until their deadline for a backup that does not answer.
  Scenario: the end of a sound stream of an upstream that is draining does not wait long for a silent backup
    When a sound stream of a draining upstream resumes at a backup that does not answer
    Then its caller got every event, and its connection was reset
    And the end came at most 2 s after the last event

  # Guards against counters and logs of ends that no caller was told.
  Scenario: an error response without framing in whose place another one is relayed does not count as relayed
    When a safe call gets an error without framing, and then a response with a length
    Then its caller got the whole body with a length
    And no close-delimited end counts as relayed

  # Guards against chunks that a caller takes for parts of events, as its version of HTTP has none.
  Scenario Outline: a caller of HTTP/<version> <accepts> chunks
    When a request of HTTP/<version> is read
    Then its caller <accepts> chunks

    Examples:
      | version | accepts         |
      | 1.1     | accepts         |
      | 1.0     | does not accept |
      | 0.9     | does not accept |
