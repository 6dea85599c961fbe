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
