Feature: Instances share the loads of upstreams that state their pace
  Reports and summaries carry them with their age; there are no further messages.

  # Guards against loads of peers that are dropped, or taken for new ones.
  Scenario: the loads of a peer's report are used with their age
    Given an instance with reports of its peers
    When a peer reports a pace of 2.5 of "u1", 400 ms old
    Then "u1" is taken to work 1.75 times as long
    And 0.3 s later "u1" is taken to work 1.375 times as long

  # Guards against an old load of a peer that replaces a newer one.
  Scenario: an older load of a peer does not replace a newer one
    Given an instance with reports of its peers
    When "u1" responds with a pace of 1
    And a peer reports a pace of 2.5 of "u1", 50 ms old
    Then "u1" is taken to work 1 times as long

  # Guards against a summary that does not reach the instances of its zone.
  Scenario Outline: the loads of a summary are used with their age
    Given an instance with reports of its peers
    When a <summary> summary holds a pace of 2.5 of "u1", 400 ms old
    Then "u1" is taken to work 1.75 times as long

    Examples:
      | summary |
      | zone    |
      | fleet   |

  # Guards against an own load that seems newer by the time of transfer when a collector repeats it,
  # and is then compared with the requests in progress at a later time.
  Scenario: a summary that repeats an instance's own load does not replace it
    Given an instance with reports of its peers
    And 3 requests in progress at "u1"
    When "u1" responds with a pace of 2.5
    And 0.1 s later, when they have ended, a fleet summary holds that load, 2 ms less old
    Then "u1" is taken to have 1 request

  # Guards against loads that circulate between instances, a little younger after each transfer.
  Scenario: each message carries the loads that its receivers have not sent
    Given an instance of a large fleet that collects for its zone
    When "u1" responds with a pace of 1.5
    And a peer reports a pace of 2 of "u2", 100 ms old
    And a zone summary holds a pace of 2.5 of "u3", 100 ms old
    And it sends its report and its summaries
    Then its report holds the loads of "u1"
    And its zone summary holds the loads of "u1 u2"
    And its fleet summary holds the loads of "u1 u2 u3"

  # Guards against larger messages in deployments that do not need them.
  Scenario: a load without a pace is not shared
    Given an instance of a large fleet that collects for its zone
    When "u1" responds with a load without a pace
    And it sends its report and its summaries
    Then its messages hold no loads

  # Guards against fields that are lost between instances.
  Scenario: loads survive the encoding of a message
    Then a report with a load is decoded as it was sent
