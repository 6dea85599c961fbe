Feature: Streams that continue at another engine
  One gateway with stand-ins of its upstreams, inside the test process. An event N has the id N, an event
  N=M the id N and the data of event M, an event N* the id N and the data of another run, an event X no id,
  and ":" is a comment. An "end" is the last chunk.

  Background:
    Given a gateway before two plain upstreams and three engines

  # Guards against streams that look complete after a resumed run that does not continue them.
  Scenario Outline: a stream whose backup sends <events>, <result>
    Given the engine of "s1" will break off after 3 events, and the next one sends <events>
    When stream "s1" is asked
    Then <relayed> events of "s1" came, in order, and <end>

    Examples:
      | events          | relayed | end     | result                                                |
      | 4 5 end         | 5       | the end | is whole                                              |
      | 4 5             | 5       | no end  | lacks its end if the backup's response has none       |
      | end             | 3       | the end | is whole if the backup states that nothing follows    |
      | 1 2 3 4 5 end   | 5       | the end | is whole if the backup repeats events of the same run |
      | 4 2 5 end       | 5       | the end | is whole if an event is repeated late                 |
      | 5 end           | 3       | no end  | is broken off at a missing event                      |
      | 1 2 end         | 3       | no end  | is broken off if the backup ends before it            |
      | 1 end           | 3       | no end  | is broken off if the backup ends long before it       |
      | 1=4 2=5 end     | 3       | no end  | is broken off if the backup numbers its rest anew     |

  # Guards against pieces of two runs that are joined in one stream.
  Scenario Outline: a stream is not joined with another run, as its backup sends <events>
    Given the engine of "s1" will break off after 3 events, and the next one sends <events>
    When stream "s1" is asked
    Then <relayed> events of "s1" came, in order, and no end

    Examples:
      | events                  | relayed |
      | 1* 2* 3* 4* end         | 3       |
      | 3* 4* 5* end            | 3       |
      | 1=4 2=5 3=6 4=7 5=8 end | 3       |
      | 4 3* 5 end              | 4       |

  # Guards against a run that begins anew within one response.
  Scenario Outline: a stream whose only run sends <events>, <result>
    Given the only run of "s1" sends <events>
    When stream "s1" is asked
    Then <relayed> events of "s1" came, in order, and <end>

    Examples:
      | events             | relayed | end     | result                                     |
      | 1 2 2 3 end        | 3       | the end | is whole if an event comes twice           |
      | 1 2 3 1 2 3 4 end  | 4       | the end | is whole if its events come twice          |
      | 1 2 1 end          | 2       | the end | is whole if an event comes late again      |
      | 1 2 3 1* 2* 3* end | 3       | no end  | is broken off if another run follows       |
      | 1 2 3 1* 4* end    | 3       | no end  | is not joined with the rest of another run |
      | 1 3 end            | 1       | no end  | is broken off at a missing event           |

  # Guards against events without an id that a resumed run repeats: its upstream can't know of them.
  Scenario Outline: a stream that sends <first> resumes only from a known event, with <next>
    Given the engine of "s1" will break off after events <first>, and the next one sends <next>
    When stream "s1" is asked
    Then events <relayed> of "s1" came and <end>

    Examples:
      | first | next       | relayed   | end     |
      | 1 2 X | X 3 end    | 1 2 X     | no end  |
      | 1 2 X | 3 end      | 1 2 X     | no end  |
      | 1 X 2 | 3 end      | 1 X 2 3   | the end |
      | 1 X 2 | 1 X 2 3 end | 1 X 2 3  | the end |
      | 1 2 : | : 3 end    | 1 2 : : 3 | the end |

  # Guards against a stream that a caller resumes, and that lacks events.
  Scenario Outline: a stream resumed by its caller after event 5, whose run sends <events>, <result>
    Given callers may resume streams
    And the only run of "s1" sends <events>
    When stream "s1" is asked by a caller that has received event 5
    Then the upstream was told of event 5
    And events <relayed> of "s1" came and <end>

    Examples:
      | events          | relayed     | end     | result                           |
      | 6 7 end         | 6 7         | the end | is whole                         |
      | end             | none        | the end | is whole if nothing follows      |
      | 7 8 end         | none        | no end  | is broken off at a missing event |
      | 1 2 3 4 5 6 end | 1 2 3 4 5 6 | the end | is whole if its run begins anew  |

  # Guards against conflicts in sound streams, and against memory that grows with the length of a stream.
  Scenario: the continuity of drawn streams is that of their ids and data
    When streams of drawn events are checked
    Then each event counts as next, repeated, missing or in conflict as its id and data say

  Scenario: a long stream keeps a bounded number of checksums
    When a stream of 100000 events is checked
    Then its last 1000 events can be verified, and less than 200 kB are kept

  # Guards against events that are lost, repeated or taken for the end when a stream resumes again and again.
  Scenario Outline: a stream that resumes three times, at copies that send <again> before, is whole
    Given stream "s1" waits after event 2 and has no backup
    And its next runs send events up to 4, 6 and 9, and before them <again>
    When each of its runs but the last is copied, and then breaks off
    Then 9 events of "s1" came, in order, and the end
    And "s1" has resumed 3 times, after events 2, 4 and 6

    Examples:
      | again          |
      | nothing        |
      | the last event |
      | all events     |

  Scenario: a stream whose copies belong to another run is broken off
    Given stream "s1" waits after event 2 and has no backup
    And its next runs send events up to 4, 6 and 9, and before them another run
    When each of its runs but the last is copied, and then breaks off
    Then 2 events of "s1" came, in order, and no end

  # Guards against events of a run that goes on after its stream has resumed elsewhere.
  Scenario: a silent engine that goes on once its stream has resumed sends nothing to the caller
    Given the engine of "s1" falls silent after event 3 with a backup, and answers no probes
    When stream "s1" is asked, and the silent engine goes on after the resume
    Then 5 events of "s1" came, in order, and the end
    And "s1" went on from its backup after event 3
