Feature: Upstreams whose entries are missing once the platform answers again
  An entry that lapsed is written again within about two seconds. One that was removed meanwhile is
  not, and its upstream may end at any time.

  Background:
    Given a gateway before two plain upstreams and three engines

  # Guards against requests to upstreams that left during an outage, however many of a service did.
  Scenario Outline: upstreams whose entries stay missing get nothing once the wait is over
    Given the platform was away, and on its return <missing> of 3 engines are missing
    When their entries stay missing for 2.21 s
    And 30 streams are asked for
    Then all of them are served, and none by an engine that is missing

    Examples:
      | missing |
      | 1       |
      | 2       |

  # Guards against an upstream that is avoided although its entry had only lapsed.
  Scenario: an upstream whose entry is back gets requests again
    Given the platform was away, and on its return 1 of 3 engines is missing
    When its entry is written again
    Then all 3 engines may be chosen

  # Guards against services that are overloaded, or without an upstream, because entries lapsed in an outage.
  Scenario Outline: upstreams are used while their entries may be written again
    Given the platform was away, and on its return <missing> of 3 engines are missing
    Then all 3 engines may be chosen

    Examples:
      | missing |
      | 1       |
      | 2       |
      | 3       |

  # Guards against requests without an upstream that are lost, though one may still serve.
  Scenario: an upstream whose entry is missing may be chosen once all others were tried
    Given the platform was away, and on its return 1 of 3 engines is missing
    Then it may be chosen by a request that avoids the others

  # Guards against upstreams that are avoided because a restored store lacks their entries.
  Scenario: upstreams that a restored store lacks are not avoided
    Given the platform was away, and on its return 1 of 3 engines is missing
    When the store turns out to be restored from an older copy
    Then all 3 engines may be chosen

  # Guards against resumed streams at an upstream that left during an outage, as its time to drain ran from the end of the wait for its entry.
  Scenario: the time to drain of an upstream runs from before the outage if its entry stays missing
    Given the platform was away for 6 s, and on its return 1 of 3 engines is missing
    When its entry stays missing for 2.21 s
    Then a stream may not be resumed there

  # Guards against entries that are awaited longer than the wait, until the next periodic check.
  Scenario: an entry that stays missing counts as removed at the end of the wait
    Given an instance that follows the platform, which lists "u1" and "u2"
    When the platform fails, and its list lacks "u1" on its return
    Then "u1" takes requests
    And 2.2 to 2.3 s after the return "u1" takes no requests, without a periodic check

  # Guards against live upstreams that peers do without, as an instance that is back first reports lapsed entries as removed.
  Scenario: a removal is not published while the entry may only have lapsed
    Given an instance that follows the platform, which lists "u1" and "u2"
    When the platform fails, and tells on its return that the entry of "u1" is gone
    Then no peer is told that "u1" is gone
    And 2.2 to 2.3 s after the return "u1" takes no requests, without a periodic check
    And the peers are told that "u1" leaves
