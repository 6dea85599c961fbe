Feature: Streams that continue at another engine
  One gateway with stand-ins of its upstreams, inside the test process. An event N has the id N, an event
  N=M the id N and the data of event M. An "end" is the last chunk.

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
