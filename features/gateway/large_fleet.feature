Feature: A large fleet
  In each zone two instances collect the members' reports and publish the sums. Some of these
  collectors follow the platform for all others.

  Scenario: a small fleet needs no collectors
    Then 16 instances need no collectors and 17 do

  Scenario: all instances choose the same few strong collectors
    Given 78 instances in 3 zones, of which a third have links of 100 Mbit/s and the others of 5
    Then all see the same 2 strong collectors in each zone, whatever the order of their lists
    And 3 of them follow the platform, of 3 zones
    And each instance is told by a collector of its zone
    And when one collector leaves the other one stays and a third takes its place

  Scenario: a summary is read without the own part
    Given an instance that reported 700 tokens on "u1" and then 900
    When a summary that has taken in its first report tells of 1500 tokens on "u1"
    Then the others have 800 tokens there

  Scenario: the retry budget of a large fleet is counted in common
    Given 77 other instances made 20 repeats of a budget of 196
    Then this instance may make more than its even part, and not all that is left

  Scenario: an instance leaves the platform alone while a collector follows it
    Given an instance of a large fleet that hears a collector twice a second
    Then it makes no call to the platform
    When the collector falls silent
    Then it calls the platform within 1.3 s

  Scenario: a collector whose own watch is silently cut off is not relied on
    Given an instance of a large fleet that hears a collector twice a second
    When the platform's last answer to the collector grows old
    Then the instance calls the platform within 2.7 s

  Scenario: an outage that all collectors tell of makes no storm
    Given 70 instances of a large fleet whose collectors tell of an outage of 8 s
    Then they make fewer than 280 calls to the platform in all
    And each of them calls at least once

  Scenario: an instance that the platform answers in spite of its collectors keeps following
    Given an instance of a large fleet whose collectors get no answer
    When the platform answers its own call
    Then its next call follows at once

  Scenario: collectors and small fleets always follow the platform
    Given a collector of a large fleet, and an instance of a small one
    Then both may call the platform at any time

  Scenario: an instance that has just started finds out first who follows the platform
    Given an instance that starts and hears a collector after 0.8 s
    Then it makes no call to the platform
    Given an instance that starts and hears nobody
    Then its first call comes after 1.5 s

  Scenario: a policy is read again only when peers know a newer one
    Given an instance of a large fleet with policy revision 7
    Then it leaves the policies alone until a collector tells of revision 9

  Scenario: a collector's list replaces what is known, but not what is newer
    Given a fleet of 3 upstreams
    And the platform tells of an upstream "u9" at revision 30
    When a collector that has seen revision 20 offers only "u1" and "u2"
    Then "u3" takes no requests
    And "u9" takes requests
    And "u1" takes requests

  Scenario: fleets that know the same upstreams have the same digest
    Given a fleet of 3 upstreams
    Then another fleet that learned of them in another order has the same digest
    And its digest differs once one is leaving

  Scenario: sums of other zones count once
    Given a collector that hears two instances of its zone and the sum of another zone
    Then the sum for other zones holds only its own zone
    And the sum for its zone holds everything
    And after a change of roles nothing is counted twice

  Scenario: instances that decide at once do not all choose the same engine
    Then of 200 instances that decide at once on old sums at most 2 in 5 choose the same engine

  Scenario: work stays in its zone while there is room
    Then a generation goes to a far engine only where the near ones are busy
    And a move goes to a far engine only where no near one has room

  Scenario: a collector that missed news of an upstream asks a follower for all of them
    Given a collector that does not follow the platform and knows 3 upstreams
    When a follower of another zone tells of other upstreams once
    Then it asks nobody, as news may be on their way
    When a follower of another zone tells of other upstreams again
    Then it asks that follower, and takes over the list that it gets
    And an answer of its own names the same upstreams
