Feature: Limits on memory and connections do not hurt callers inside the limits
  Connections on loopback inside the test process, with budgets of a few thousand bytes.

  # Guards against a response that is dropped as requests in progress hold all memory.
  Scenario: a ready response is sent although requests in progress hold the budget
    Given a budget of 1,000,000 bytes of which requests in progress hold 950,000
    When a response of 100,000 bytes is written
    Then its caller receives it whole

  # Guards against an evicted request that gets a close instead of a refusal.
  Scenario: an unfinished request that is evicted while it waits gets a refusal
    Given a budget of 100,000 bytes, and a caller that has sent 60,000 bytes of a body
    When another caller sends a whole request of 50,000 bytes
    Then the first caller gets a whole 503 with a Retry-After, and the second request is read

  # Guards against new callers that are closed before long idle ones.
  Scenario: callers that have just connected are not closed before idle ones
    Given 4 connections that have been used and are idle, which is the limit
    When 4 callers connect and send a request soon after
    Then all 4 requests are read, and the idle connections are closed

  # Guards against a busy instance that the platform takes for one that is not ready.
  Scenario: readiness checks are answered while callers' requests hold the budget
    Given a gateway whose budget is held by requests in progress
    Then a readiness check is answered

  # Guards against a 408 for a request that arrived in time behind another one.
  Scenario: a pipelined request does not time out while the one before it is served
    Given a connection whose requests have 0.5 s, with one and a half requests sent
    When the first one is served for 0.7 s, and the rest of the second one is sent
    Then the second request is read

  # Guards against whole requests that are dropped with an unfinished one.
  Scenario: whole pipelined requests are served though there is no room for more
    Given a connection with a budget of 6,000 bytes
    When 3 whole requests of 500 bytes arrive at once
    Then all 3 are read

  # Guards against tunnels that use up the connections of the peers' port.
  Scenario: tunnels leave room for peers
    Given a peers' port that takes 2 connections, both of which are tunnels now
    Then a message of another peer is received
