Feature: Limits on what accepted connections hold together

  # Guards against small messages that are given up for large ones which never end.
  Scenario: at the limit of bytes the largest unfinished message is given up
    Given connections that hold 30, 60 and 5 of at most 100 bytes, and wait
    When one more holds 20 bytes
    Then only the connection with 60 bytes is closed

  # Guards against senders that have proved the key being closed for those that have not.
  Scenario: at the limit of bytes an authenticated connection is kept before others
    Given connections that hold 30, 60 and 5 of at most 100 bytes, and wait
    And the connection with 60 bytes is authenticated
    When one more holds 20 bytes
    Then only the connection with 30 bytes is closed

  # Guards against new connections being refused for silent ones.
  Scenario: at the limit of connections the one that has waited longest is closed
    Given connections that hold 30, 60 and 5 of at most 100 bytes, and wait
    When one more is opened than the limit of connections allows
    Then it is admitted, and only the connection with 30 bytes is closed

  # Guards against requests that are served being ended for new connections.
  Scenario: at the limit of connections none is closed that does not wait for its peer
    Given connections that hold 30, 60 and 5 of at most 100 bytes
    When one more is opened than the limit of connections allows
    Then it is not admitted, and none is closed
