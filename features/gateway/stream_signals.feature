Feature: Streams of a gateway process that is disturbed
  A gateway process, with a stand-in of the store and an engine inside the test process.

  Background:
    Given the store's stand-in with a routing configuration and 2 upstreams
    And an engine whose stream pauses after event 3 of 5
    And a gateway process

  # Guards against an end of the process that is taken for the end of a stream.
  Scenario: a stream whose process is killed is broken off
    When the stream pauses, and the process gets SIGKILL and ends
    Then 3 events came, and no end

  Scenario: a stream that outlasts the grace time is open until the process is killed, and then broken off
    When the stream pauses, the process gets SIGTERM, its grace time passes, and it is killed
    Then 3 events came, and no end

  # Guards against disturbances that end a stream although its upstream goes on.
  Scenario Outline: a stream that goes on after <disturbance> is whole
    When the stream pauses, there is <disturbance>, and the stream goes on
    Then 5 events came, and the end

    Examples:
      | disturbance               |
      | a SIGTERM                 |
      | a SIGHUP                  |
      | a SIGHUP of wrong settings |
      | an outage of the store    |
      | a stop of the process for 1 s |

  # Guards against the same ends of streams that end with their connection: a truncated one must not be closed in order.
  Scenario: a stream without framing whose process is killed is reset
    Given its response ends with its connection
    When the stream pauses, and the process gets SIGKILL and ends
    Then 3 events came, and no end
    And no framing states the end

  Scenario: a stream without framing that outlasts the grace time is open until the process is killed, and then reset
    Given its response ends with its connection
    When the stream pauses, the process gets SIGTERM, its grace time passes, and it is killed
    Then 3 events came, and no end
    And no framing states the end

  # Guards against streams without framing that lose events to a disturbance, or that end in order without evidence.
  Scenario Outline: a stream without framing that goes on after <disturbance> arrives with every event, and is reset
    Given its response ends with its connection
    When the stream pauses, there is <disturbance>, and the stream goes on
    Then 5 events came, and no end
    And no framing states the end

    Examples:
      | disturbance               |
      | a SIGTERM                 |
      | a SIGHUP                  |
      | a SIGHUP of wrong settings |
      | an outage of the store    |
      | a stop of the process for 1 s |
