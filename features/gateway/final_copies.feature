Feature: Streams whose run a final copy stops
  One gateway with stand-ins of its upstreams, inside the test process. The engine leaves, copies the run
  once while it continues, and is asked for the final copy.

  Background:
    Given a gateway before two plain upstreams and three engines

  # Guards against a stopped run that is taken for a whole stream, whatever becomes of its final copy.
  Scenario Outline: a stream of <framing> stopped after event 2, whose final copy is answered <answer>, <result>
    Given stream "s1" of <framing> waits after event 2
    When its engine leaves, stops the run at the final copy, and answers <answer>
    Then <events> events of "s1" came, in order, and <end>

    Examples:
      | framing    | answer                | events | end     | result                    |
      | chunks     | 200 with the copy     | 5      | the end | resumes at the copy       |
      | chunks     | 503 with a kept run   | 5      | the end | resumes at its engine     |
      | chunks     | 503                   | 5      | the end | resumes at the first copy |
      | chunks     | 500                   | 5      | the end | resumes at the first copy |
      | chunks     | 200 without the copy  | 5      | the end | resumes at the first copy |
      | chunks     | with nothing          | 5      | the end | resumes at the first copy |
      | chunks     | too late              | 5      | the end | resumes at the first copy |
      | chunks     | 409                   | 5      | the end | resumes at the first copy |
      | chunks     | 404                   | 5      | the end | resumes at the first copy |
      | no framing | 200 with the copy     | 5      | the end | resumes at the copy       |
      | no framing | 503 with a kept run   | 5      | the end | resumes at its engine     |
      | no framing | 503                   | 5      | the end | resumes at the first copy |
      | no framing | 500                   | 5      | the end | resumes at the first copy |
      | no framing | 200 without the copy  | 5      | the end | resumes at the first copy |
      | no framing | with nothing          | 5      | the end | resumes at the first copy |
      | no framing | too late              | 5      | the end | resumes at the first copy |

  Scenario Outline: a stream of <framing> stopped after event 2 without any copy left, answered <answer>, is broken off
    Given stream "s1" of <framing> waits after event 2
    And no engine holds a copy at the end
    When its engine leaves, stops the run at the final copy, and answers <answer>
    Then 2 events of "s1" came, in order, and no end

    Examples:
      | framing    | answer                |
      | chunks     | 200 with the copy     |
      | chunks     | 503 with a kept run   |
      | chunks     | 503                   |
      | chunks     | with nothing          |
      | chunks     | too late              |
      | chunks     | 404                   |
      | no framing | 200 with the copy     |
      | no framing | 503 with a kept run   |
      | no framing | 503                   |
      | no framing | with nothing          |
      | no framing | too late              |

  # Guards against a run that a final copy has stopped, and that is taken for whole as its server wrote the last chunk.
  Scenario Outline: a stream whose last chunk is false as a final copy stopped it after event 2, answered <answer>, <result>
    Given stream "s1" of chunks, the last one false waits after event 2
    When its engine leaves, stops the run at the final copy, and answers <answer>
    Then 5 events of "s1" came, in order, and the end

    Examples:
      | answer              | result               |
      | 200 with the copy   | resumes at the copy  |
      | 503 with a kept run | resumes at its engine |

  # Guards against the same where the run can resume nowhere.
  Scenario Outline: a stream whose last chunk is false, without any copy left, answered <answer>, is broken off
    Given stream "s1" of chunks, the last one false waits after event 2
    And no engine holds a copy at the end
    When its engine leaves, stops the run at the final copy, and answers <answer>
    Then 2 events of "s1" came, in order, and no end

    Examples:
      | answer              |
      | 200 with the copy   |
      | 503 with a kept run |

  # Guards against a whole stream that is broken off as its engine copied the run after its last event.
  Scenario: a stream of chunks that ends whole before its final copy, answered 200 with the copy, is whole
    Given stream "s1" of chunks waits after event 2
    When its engine leaves, ends the run whole before the final copy, and answers 200 with the copy
    Then 5 events of "s1" came, in order, and the end

  # Guards against a run that is taken for stopped by a final copy although it has ended whole.
  Scenario Outline: a stream of <framing> that ends whole before its final copy, answered <answer>, is whole
    Given stream "s1" of <framing> waits after event 2
    When its engine leaves, ends the run whole before the final copy, and answers <answer>
    Then 5 events of "s1" came, in order, and the end
    And "s1" has run on 1 upstreams

    Examples:
      | framing    | answer |
      | chunks     | 404    |
      | chunks     | 409    |
      | chunks     | with nothing |
      | chunks     | too late |

  # Guards against an orderly end that rests on the answer of a final copy: an engine has no such run either once it has broken it off.
  Scenario Outline: a stream without framing that ends before its final copy, answered <answer>, ends in order only as its first copy adds nothing
    Given stream "s1" of no framing waits after event 2
    When its engine leaves, ends the run whole before the final copy, and answers <answer>
    Then 5 events of "s1" came, in order, and the end
    And "s1" has run on 2 upstreams

    Examples:
      | answer |
      | 404    |
      | 409    |

  # Guards against the same where no copy is left that could show that the stream is whole.
  Scenario Outline: a stream without framing that ends before its final copy, answered <answer> without any copy left, is reset
    Given stream "s1" of no framing waits after event 2
    And no engine holds a copy at the end
    When its engine leaves, ends the run whole before the final copy, and answers <answer>
    Then 5 events of "s1" came, in order, and no end
    And "s1" has run on 1 upstreams

    Examples:
      | answer |
      | 404    |
      | 409    |
