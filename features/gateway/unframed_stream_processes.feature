Feature: Streams without framing at a gateway process
  A real gateway process, callers at real sockets, and three engines that keep copies for each other. Streams have 20 events and last
  1.4 s, so that backups have been made; each row sends six at once.

  # Guards against truncated streams that end in order, and whole ones that are reset although something shows that they are whole.
  Scenario Outline: of six streams from <engines>, callers see <whole> whole, <reset> reset and <short> short ones in order
    Given the store's stand-in with a routing configuration and 2 upstreams
    And <engines>
    And a gateway process
    When 6 streams of 20 events are sent
    Then callers see <whole> whole, <reset> reset and <short> short ones in order
    And each stream has begun on at most <runs> engines

    Examples: without backups
      | engines                                                            | whole | reset | short | runs |
      | engines without backups, that send whole streams in chunks         | 6     | 0     | 0     | 1    |
      | engines without backups, that send whole streams without framing   | 0     | 6     | 0     | 1    |
      | engines without backups, that close streams after event 7          | 0     | 6     | 0     | 1    |
      | engines without backups, that close streams after event 17 and end | 0     | 6     | 0     | 1    |

    Examples: with backups
      | engines                                                                              | whole | reset | short | runs |
      | engines with backups, that send whole streams without framing                        | 0     | 6     | 0     | 1    |
      | engines with backups but no room for them, that send whole streams without framing   | 0     | 6     | 0     | 1    |
      | engines with backups, that close streams after event 17 and resume them in chunks    | 6     | 0     | 0     | 2    |
      | engines with backups, that close streams after event 17 and resume them without framing | 0  | 6     | 0     | 3    |
      | engines with backups but no room for them, that close streams after event 17         | 0     | 6     | 0     | 1    |
      | engines with backups, that close streams after event 7                               | 0     | 6     | 0     | 1    |
