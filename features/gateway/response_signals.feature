Feature: Signals count with every response of an upstream
  One gateway with stand-ins of its upstreams, inside the test process.

  Background:
    Given a gateway before two plain upstreams and three engines

  # Guards against code paths that read responses without their signals.
  Scenario Outline: an upstream that signals that it leaves with <response> takes no requests
    When an upstream signals that it leaves with <response>
    Then it takes no requests, and its peers do

    Examples:
      | response                           |
      | a call's answer                    |
      | a call's failure                   |
      | a rejection                        |
      | a stream's head                    |
      | a surplus response                 |
      | a response that is cut short       |
      | the answer to a copy's request     |
      | the answer to a question           |
      | the answer to a copy's end         |

  # Guards against a signal that is attributed to the upstream which had the address before.
  Scenario: a response of another upstream at its address signals nothing about it
    When the upstream of "r1" leaves and says by the status alone that it is not the one meant
    Then all upstreams take requests

  # Guards against streams and replicas that stay on an engine which signals that it leaves.
  Scenario: a stream on an engine that signals that it leaves is moved
    When an engine with a stream signals that it leaves with the answer to a question
    Then the stream is moved to another engine and comes whole

  # Guards against unknown signals that are dropped without a log line.
  Scenario: a header that looks like a signal and is not known is logged once by its name
    When three responses carry "Server-Mood: low"
    Then the log names "server-mood" once, and three are counted
