Feature: Settings and the command
  All invalid settings are reported at once, each with its fix; exit codes are distinct.

  Scenario: wrong settings
    When the daemon is started with "--zone=a --listen=nowhere --max-body=5"
    Then it ends with 2 and names "--instance-id, --listen, --max-body, --operator-token, --peer-key"

  Scenario: an unknown flag
    When the daemon is started with "--wrong"
    Then it ends with 2 and names "--help"

  Scenario Outline: exit codes of the command
    When the command runs "<arguments>"
    Then it ends with <code> and names "<words>"

    Examples:
      | arguments | code | words |
      | policy check examples/parcel.policy | 0 | parcel |
      | policy check README.md | 1 | column |
      | nonsense | 2 | Usage |
      | status --operator=127.0.0.1:1 --token=x | 5 | no connection |
      | config show --operator=127.0.0.1:1 --token=x | 5 | no connection |

  Scenario: a configuration that cannot be read does not end the watch of the next one
    Given an instance whose platform stores a configuration that cannot be read, then a whole one
    When it follows the platform
    Then the whole one is in force

  Scenario: a platform that has fallen silent is asked anew
    Given a platform that takes a question and never answers
    Then a watch of it fails within 3 s

  Scenario: what runs for the life of an instance outlives an unexpected error
    Given work that fails at first in a way that nobody expects
    When it is kept running
    Then it runs again, and the log tells why
