Feature: Streams that are disturbed between two events
  One gateway with stand-ins of its upstreams, inside the test process. No engine keeps a copy, so that a
  disturbed stream is broken off.

  Background:
    Given a gateway before two plain upstreams and three engines
    And no engine keeps a copy of "s1"

  # Guards against disturbances of the instance that end a stream as complete.
  Scenario Outline: a stream is broken off when <fault> after event 3
    Given stream "s1" pauses after event 3 of 5
    When <fault>, and the stream continues
    Then <events> events of "s1" came, in order, and no end
    And nothing follows on its connection

    Examples:
      | fault                                             | events |
      | its response is ended to free memory              | 3      |
      | its deadline passes                               | 3      |
      | its connections to the upstream are closed        | 3      |
      | the check of the next event fails unexpectedly    | 3      |
      | the record of the next event fails unexpectedly   | 3      |
      | the record of its end fails unexpectedly          | 5      |
      | the log of its end fails unexpectedly             | 5      |

  # Guards against a part of a write that is lost when the caller reads on after a time-out.
  Scenario: a stream whose caller reads nothing until the time-out of a write is broken off
    Given the time-out of writes is 0.3 s
    And the engine of "s1" sends 250 events of 64 kB
    When "/stream/a" is asked as "s1", and nothing is read until the stream has ended
    Then the events that came are the first ones, in order, and there is no end

  # Guards against the same for a stream that ends with its connection: closing it in order would state that it is whole.
  Scenario: a stream without framing whose caller reads nothing until the time-out of a write is reset
    Given the time-out of writes is 0.3 s
    And the engine of "s1" sends 250 events of 64 kB without framing
    When "/stream/a" is asked as "s1", and nothing is read until the stream has ended
    Then the events that came are the first ones, and the connection was reset

  # Guards against other responses that are taken for a part of the stream, or for its end.
  Scenario Outline: a stream with <what> before its head is <result>
    Given the engine of "s1" sends <what> before its head
    When stream "s1" is asked
    Then the answer is <result>

    Examples:
      | what                                  | result          |
      | an interim response                   | whole           |
      | early hints                           | whole           |
      | many interim responses                | whole           |
      | a surplus response with a length      | whole           |
      | a surplus response in chunks          | whole           |
      | a surplus response without framing    | a failure       |
      | a cut surplus response with a length  | a failure       |

  Scenario Outline: a stream of <framing> with <what> after event 3 is not told whole
    Given the engine of "s1" sends 3 events in <framing>, then <what>, and then 2 events and an end
    When stream "s1" is asked
    Then the stream is not whole, and its events are those of the run

    Examples:
      | framing        | what                                 |
      | chunks         | an interim response                  |
      | chunks         | early hints                          |
      | chunks         | a surplus response with a length     |
      | chunks         | a surplus response in chunks         |
      | chunks         | a surplus response without framing   |
      | chunks         | its own head                         |
      | chunks         | a zero and an x                      |
      | chunks         | a zero and a line feed               |
      | chunks         | a negative size                      |
      | chunks         | an empty line                        |
      | chunks at once | an interim response                  |
      | chunks at once | early hints                          |
      | chunks at once | a surplus response with a length     |
      | chunks at once | a surplus response in chunks         |
      | chunks at once | a surplus response without framing   |
      | chunks at once | its own head                         |
      | chunks at once | a zero and an x                      |
      | chunks at once | a zero and a line feed               |
      | chunks at once | a negative size                      |
      | chunks at once | an empty line                        |
      | no framing     | an interim response                  |
      | no framing     | early hints                          |
      | no framing     | a surplus response with a length     |
      | no framing     | a surplus response in chunks         |
      | no framing     | a surplus response without framing   |
      | no framing     | its own head                         |

  # Guards against truncated responses that are taken for whole, wherever they are cut and however they arrive.
  Scenario Outline: a response <form> is whole only with its last byte
    When responses <form> of drawn bodies are cut at each byte, and arrive in drawn pieces
    Then only those with all bytes have an end, and all others break off

    Examples:
      | form                                    |
      | in chunks                               |
      | in chunks with extensions and a trailer |
      | with a length                           |
      | in chunks after an interim response     |
      | in chunks after a surplus response      |
