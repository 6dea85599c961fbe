Feature: An instance takes requests soon after its process starts
  After a kill, callers cannot connect until the program is loaded, so it must import little.

  Scenario: no installed package is looked for at a start
    When the platform's program is loaded in a fresh process
    Then it has not once looked through the installed packages

  Scenario: the standard library is not patched, and nothing in the program waits in it
    When the platform's program is loaded in a fresh process
    Then the standard library's sockets and pauses are its own
    And no module of ours that it has loaded waits by them
