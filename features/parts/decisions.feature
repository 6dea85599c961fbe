Feature: The decisions
  Pure functions, on numbers that can be checked by hand.

  Scenario: running generations count as censored
    Given 400 outputs of 100 tokens have ended and 400 run on past 1000
    Then about half of new outputs are expected to outlive 500 tokens

  Scenario: a class without history leans on its kind
    Given a kind whose outputs end at 50 tokens
    Then a new workspace of that kind expects under 120 tokens

  Scenario: a workspace that floods only lengthens its own line
    Given 50 requests of "flood" wait and then 1 of "quiet"
    Then "quiet" is among the first two served

  Scenario: a token limit reserves and settles
    Given a limit of 10 tokens a second
    When 600 tokens are reserved and 100 used
    Then 500 more can be reserved at once and 100 more only 10 s later

  Scenario: a retry budget bounds retries to a share
    Given 100 requests that all fail
    Then at most 15 retries are made

  Scenario: the prefix tree keeps what runs and shares what is common
    Given two conversations of one workspace are cached
    Then their common instructions count once
    And a pinned conversation outlives the shrinking of the cache

  Scenario: a victim is of the lowest rank, has yielded least and is not nearly done
    Then the right generation yields of four candidates

  Scenario: what has yielded on a runner that leaves goes on
    Given a generation of a low rank has yielded to the first rank
    When its runner leaves
    Then the generation is asked to go on at once

  Scenario: an asked return is admitted
    Given a full runner that refuses with a time to come back
    Then the caller that comes back then is granted

  Scenario: a new lease holder and an engine that checks no fence
    Given a holder whose lease has lapsed and a new one
    Then the new one orders the checking engine at once and the other 3 s later
    And the old one orders nothing, even if it wakes up in between

  Scenario: two sides of a cut hold each other for dead and join again
    Given two instances that are cut off from each other for an hour
    Then each holds the other for dead, and for live 5 s after the cut

  Scenario: the codec survives greenlets
    When every kind of peer message is encoded in greenlets that switch
    Then all decode to what was sent
    And a changed byte is rejected

  Scenario: large peer messages survive greenlets
    When routing documents of 70000 characters are encoded in greenlets that switch
    Then all arrive as they were sent

  Scenario: a recorded trace replays to the stated outcomes
    Given a trace recorded from a busy group
    Then its replay gives the same actions
    And a changed outcome is found
