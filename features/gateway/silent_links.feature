Feature: Connections whose other end falls silent
  The packets of one end are dropped by a socket filter, as by a link that is cut without a reset.

  # Guards against a silent connection that is ended too soon, or too late, by TCP_USER_TIMEOUT or keep-alive probes.
  Scenario Outline: a connection <kind> that waits for data ends 3 s after its other end fell silent
    Given a connection <kind>
    When its other end falls silent
    Then it ends between 2.5 s and 3.8 s later

    Examples:
      | kind          |
      | to an upstream |
      | of a tunnel    |

  # Guards against a sound upstream that is silent for a moment being taken for gone.
  Scenario Outline: a connection <kind> survives a silence of 1.7 s
    Given a connection <kind>
    When its other end falls silent for 1.7 s
    Then a byte passes afterwards

    Examples:
      | kind          |
      | to an upstream |
      | of a tunnel    |

  # Guards against TCP_USER_TIMEOUT ending a connection whose reader is alive and slow.
  Scenario: a tunnel whose reader takes nothing for 3 s stays open
    Given a connection of a tunnel
    When its other end reads nothing for 3 s while it is written to
    Then it has not ended

  Scenario: data that is not acknowledged ends a connection to an upstream after 2.5 s
    Given a connection to an upstream
    When its other end falls silent and a byte is sent
    Then it ends between 2.3 s and 3.5 s later

  # Guards against events of a stream being produced by two engines, as the first one was silent for a moment.
  Scenario: a stream whose engine sends nothing for 1.5 s goes on there
    Given a gateway before two plain upstreams and three engines
    And another instance that is ready
    And stream "r1" has a backup and pauses after event 3
    When "/stream/patient/a" is asked as "r1", and its engine goes on after 1.5 s
    Then the stream has events 1 to 5 and its end
    And "r1" has run on 1 upstreams

  # Guards against a preempted stream that is run by a second engine while the first one goes on with it.
  Scenario: a silent stream stays at its engine as long as that answers probes
    Given a gateway before two plain upstreams and three engines
    And another instance that is ready
    And stream "r1" has a backup and pauses after event 3
    When "/stream/patient/a" is asked as "r1", and its engine answers 2 probes before it goes on
    Then the stream has events 1 to 5 and its end
    And "r1" has run on 1 upstreams

  # Guards against a stream that stays at an engine which is gone without a word.
  Scenario: a silent stream goes on at its backup if its engine answers no probe
    Given a gateway before two plain upstreams and three engines
    And another instance that is ready
    And stream "r1" has a backup and pauses after event 3
    When "/stream/patient/a" is asked as "r1", and its engine answers no probe
    Then the stream has events 1 to 5 and its end
    And "r1" has run on 2 upstreams

  # Guards against an upstream being avoided for seconds after a moment of silence.
  Scenario: requests that fail together eject an upstream once
    Given an upstream to which 12 connections fail within 0.1 s
    Then it is ejected for 0.4 s at most
    And a failure after that ejects it for longer
