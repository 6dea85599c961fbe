Feature: Signals, addresses in use and incomplete settings while an instance starts
  Real gateway processes with the store's stand-in.

  Background:
    Given the store's stand-in with a routing configuration and 2 upstreams

  # Guards against a SIGHUP that ends an instance whose program is still being loaded.
  Scenario Outline: an instance is ready after a SIGHUP while it loads <module>
    Given a gateway process that is loading "<module>"
    When it gets SIGHUP
    Then it becomes ready and serves a call

    Examples:
      | module    |
      | gevent    |
      | httptools |
      | capnp     |

  # Guards against a stop during the start that counts as a crash, or that leaves an entry behind.
  Scenario: an instance that is stopped while it starts ends with 0 and has registered nothing
    Given a gateway process that is loading "gevent"
    When it gets SIGHUP, SIGHUP, SIGTERM and SIGHUP
    Then it ends by itself with 0
    And the store holds no instance

  # Guards against signals that end an instance at the end of its planned stop.
  Scenario: an instance that gets signals until its process is gone ends with 0
    Given a gateway process
    When it gets SIGTERM, and SIGHUP and SIGTERM in turn until it has ended
    Then it ends by itself with 0

  # Guards against a start that fails as the process before it has not ended yet.
  Scenario Outline: an instance starts once another process releases its <listener> address
    Given a gateway process whose "<listener>" address is in use
    When it waits for the address, which then becomes free
    Then it becomes ready and serves a call

    Examples:
      | listener  |
      | front     |
      | ready     |
      | directory |
      | control   |
      | metrics   |

  # Guards against a stop that is not noticed while an address is in use.
  Scenario: an instance that is stopped while its address is in use ends with 0
    Given a gateway process whose "front" address is in use
    When it waits for the address, and gets SIGTERM
    Then it ends by itself with 0
    And the store holds no instance

  # Guards against a start that fails while the settings file is being replaced.
  Scenario Outline: an instance starts once its settings are whole
    Given a gateway process whose settings file is <state>
    When it waits for the settings, which are then written
    Then it becomes ready and serves a call

    Examples:
      | state   |
      | missing |
      | empty   |
      | cut     |

  # Guards against settings that end a running instance.
  Scenario Outline: a running instance keeps its settings while the file is <state>
    Given a gateway process
    When its settings file becomes <state>, without a signal
    Then it says so and serves on

    Examples:
      | state      |
      | missing    |
      | empty      |
      | cut        |
      | not finite |

  # Guards against an instance that peers direct callers to while another process has its address.
  Scenario Outline: an instance whose <listener> address is in use is neither ready nor located
    Given a gateway process
    And one more whose "<listener>" address is in use
    When the second one waits for the address
    Then the second one is not ready, and the first does not locate it for 2 s
    When the second one gets SIGTERM
    Then it has ended with 0, and the first has never heard of it

    Examples:
      | listener |
      | front    |
      | control  |
      | metrics  |
