Feature: Signals and addresses in use while an instance of the own interface starts

  # Guards against a SIGHUP that ends an instance whose program is still being loaded, or that runs.
  Scenario: an instance of the own interface listens after SIGHUP in its start and later
    Given an instance of the own interface that is loading "gevent"
    When the instance gets SIGHUP, and again once it listens
    Then the instance is alive

  # Guards against a stop during the start that counts as a crash.
  Scenario: an instance of the own interface that is stopped while it starts ends with 0
    Given an instance of the own interface that is loading "gevent"
    When the instance gets SIGTERM
    Then the instance ends with 0

  # Guards against a start that fails as the process before it has not ended yet.
  Scenario: an instance of the own interface waits for its addresses
    Given an instance of the own interface whose addresses are in use
    When the addresses become free
    Then the instance is alive

  # Guards against an installed command that loads the program before it records signals.
  Scenario: the installed command records signals before it loads the program
    When the entry point of the package is imported and called with no flags
    Then the signals were recorded before any other module was loaded
