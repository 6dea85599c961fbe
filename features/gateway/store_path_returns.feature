Feature: The path to the store returns
  Entries that are missing after an outage are awaited from the store's first answer on. If that comes
  late, upstreams that left during the outage get requests for that much longer.

  # Guards against requests to removed upstreams, as the first answer waits for the kernel to send an opening packet again.
  Scenario Outline: a feed is answered soon after <cut> ends
    Given 8 feeds of upstreams, each over a link of its own
    When the links are cut by <cut> for 3 to 4 s
    Then each feed is answered early enough to await missing entries within 3 s

    Examples:
      | cut                              |
      | silence                          |
      | resets                           |
      | refusals of new connections      |
      | silence of connections that open |

  # Guards against a slow store that counts as away, as its answers take longer than an interval.
  Scenario: a slow store is answered by the first of overlapping reads
    Given a store that does not answer, and a client that has noticed
    When the store is back and takes 1.1 s for each answer
    Then the client's next read is answered

  # Guards against a store that refuses connections being called without a pause.
  Scenario: a refused read is not repeated at once
    Given a client whose store refuses connections
    Then its reads fail within 0.2 s, after one call each

  # Guards against a store that is back and counts as away until an idle watch ends.
  Scenario: the watch after a failed call does not wait for a change
    Given a feed whose watch fails 1 time
    Then its watches wait for a change, but the one after the failure

  # Guards against a pause that is added to a call that has taken long itself.
  Scenario: calls that fail late are repeated after the shortest pause
    Given a feed whose calls fail after 0.7 s
    Then it pauses for 0.025 to 0.075 s after them

  # Guards against a configuration that comes into force later than the upstreams are known.
  Scenario: other feeds are read again as soon as that of the upstreams is answered
    Given an instance whose calls to the store all fail
    When the store answers the feed of upstreams
    Then the feed of the configuration is read at once
