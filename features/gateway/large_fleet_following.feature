Feature: Following the store in place of followers that it does not answer
  Three instances of a large fleet follow the platform's store for all others. While at least one
  instance reaches the store, a stored change is in force everywhere within 1.5 s. The fleet's time,
  network and store are simulated.

  Background:
    Given a fleet of 24 instances in 3 zones, 3 of which follow the store

  Scenario Outline: the store rejects all followers at the same moment
    When the store rejects the followers
    And a change is stored <after> s later
    Then it is in force at all instances within 0.5 s
    And one instance follows in place of the followers
    And 3 s later it has not started to follow for a second reason

    Examples:
      | after |
      | 0     |
      | 0.02  |
      | 0.5   |
      | 3     |

  Scenario: the store rejects new calls of all followers and lets their watches end
    When the store rejects new calls of the followers
    And a change is stored 0.9 s later
    Then it is in force at all instances within 0.5 s

  Scenario: a single rejected follower needs no calls of others
    When the store rejects one follower
    Then in 5 s only the followers call the store

  Scenario: a fleet that starts needs no calls of others than followers after the first lists
    Then no collector has followed the store in place of silent followers

  Scenario Outline: all followers get no answer any more
    When the store does not answer the followers
    And a change is stored <after> s later
    Then it is in force at all instances within 1.5 s

    Examples:
      | after |
      | 0     |
      | 0.5   |
      | 1.2   |
      | 4     |

  Scenario: the next candidates are rejected too
    When the store rejects the followers and the next 5 candidates
    And a change is stored 0 s later
    Then it is in force at all instances within 0.5 s
    And one instance follows in place of the followers

  Scenario: the next candidates get no answer
    When the store rejects the followers and does not answer the next 2 candidates
    And a change is stored 0 s later
    Then it is in force at all instances within 1.5 s

  Scenario: requests are lost
    Given each follower's first 2 requests to follow are lost
    When the store rejects the followers
    And a change is stored 0 s later
    Then it is in force at all instances within 0.7 s

  Scenario: answers are lost
    Given each candidate's first answer to a request to follow is lost
    When the store rejects the followers
    And a change is stored 0 s later
    Then it is in force at all instances within 1.5 s

  Scenario Outline: the followers are cut off from the store and from all peers
    When the followers are cut off from the store and from all peers
    And a change is stored <after> s later
    Then it is in force at all other instances within 1.5 s

    Examples:
      | after |
      | 0     |
      | 0.6   |
      | 1.3   |
      | 4     |

  Scenario: an instance that follows in place of others dies
    When the store rejects the followers
    And 2 s later the instance that follows in their place dies
    And a change is stored 0 s later
    Then it is in force at all other instances within 1.5 s
    And one instance follows in place of the followers

  Scenario: an instance that follows in place of others is rejected as well
    When the store rejects the followers
    And 2 s later the store rejects the instance that follows in their place
    And a change is stored 0 s later
    Then it is in force at all instances within 0.5 s

  Scenario: one instance is enough where no collector is answered
    When the store rejects all collectors
    And a change is stored 0 s later
    Then it is in force at all instances within 0.5 s
    When another change is stored 10 s later
    Then it is in force at all instances within 0.5 s

  Scenario: followers that are answered again follow alone
    When the store rejects the followers
    And 3 s later the store answers all
    Then 7 s later no instance follows in place of others
    And in 10 s only the followers call the store

  Scenario: an outage of the whole store makes no storm of calls
    When the store rejects all instances
    Then in 10 s the store gets at most 400 calls

  Scenario: messages about following arrive as they were sent
    Then requests, answers and the age in a follower's report are decoded as they were encoded
    And only reports of instances that follow the store carry an age

  Scenario: quiet times need no more calls
    Then in 20 s only the followers call the store
    And they make no more calls than watches of 0.8 s need
    And no request to follow is sent
