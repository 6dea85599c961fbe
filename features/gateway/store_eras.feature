Feature: What the store has told is ordered by its eras, also between peers
  After a restore from an older backup, the store's revisions go back and its era increases. For some
  time after that its lists lack objects that are valid.

  Scenario: a version of a later era is the newer one, whatever its revision
    Then 2.5 follows 1.90, which follows 1.89, and a store without eras counts plainly
    And each version is read again as it is shown

  Scenario Outline: an answer of no believable era is not believed
    Given a store whose answers have named the era 3
    When an answer names the era <told>
    Then it counts as no answer, and the era stays 3

    Examples:
      | told  |
      | 2     |
      | none  |
      | three |
      | -4    |

  Scenario: a watch that is answered in another era is read anew
    Given a store whose answers have named the era 3
    When a watch from the version 3.40 is answered in the era 4
    Then its history counts as gone, and the era is 4

  Scenario: a conditional write that rests on an older era is refused without a call
    Given a store whose answers have named the era 3
    Then to replace an object at 2.40 is refused, and the store gets no call

  Scenario: an entry that the store lacks after its return goes only when it is still missing
    Given a fleet that knows "u1" and "u2" as of 1.100
    When the store has come back, and lists "u1" alone as of 2.50
    Then "u1" and "u2" take requests
    But 3 s later "u2" takes none, if it is not listed by then

  Scenario: an entry that is listed again in time has never gone
    Given a fleet that knows "u1" and "u2" as of 1.100
    When the store has come back, and lists "u1" alone as of 2.50
    And 1 s later "u2" is listed as of 2.55
    Then 3 s later "u1" and "u2" take requests, and nobody was told that one leaves

  Scenario: what had left is not revived by the copy, but by word that outlasts it
    Given a fleet that knows "u1" and "u2" as of 1.100, and that "u2" has left
    When the store has come back, and lists both as of 2.50
    Then "u1" takes requests, and "u2" none
    And 3 s later "u2" takes none, though it is still listed then
    But 9 s later "u2" takes requests, if it is still listed then

  Scenario: a removal that is told after the return counts at once
    Given a fleet that knows "u1" and "u2" as of 1.100
    When the store has come back, and lists both as of 2.50
    And 1 s later "u2" is removed as of 2.52
    Then "u2" takes no requests at once

  Scenario: a list that was read before an upstream joined says nothing of it
    Given a fleet that knows "u1" and "u2" as of 1.100
    When a peer tells that "u3" has joined as of 1.103
    And a list as of 1.102 comes after it, with "u1" alone
    Then "u1" and "u3" take requests
    But "u3" takes none once a list as of 1.104 lacks it as well

  Scenario: a notice that is told after the return counts at once
    Given a fleet that knows "u1" and "u2" as of 1.100
    When the store has come back, and lists both as of 2.50
    And 1 s later "u2" says as of 2.52 that it leaves
    Then "u2" takes no requests at once

  Scenario: a peer that has not noticed the return yet revives nothing
    Given a fleet that knows "u1" and "u2" as of 1.100
    When the store has come back, and lists both as of 2.50
    And 1 s later "u2" is removed as of 2.52
    And a peer offers "u1" and "u2" as of 1.120
    Then "u2" takes no requests at once

  Scenario: cordons hold until the store has been written again, then what it says holds
    Given a book that knows zone "a" as cordoned at 1.90 of 1.100
    When the store has come back and its list as of 2.50 names no zone
    Then zone "a" is cordoned
    But the list after that ends it

  Scenario: an earlier policy that the store holds again does not come into force
    Given a policy "first" was in force as of 1.40, and "second" is as of 1.90
    When the store holds "first" as of 2.40
    Then "second" is in force, and is written again in its place
    But "third", submitted as of 2.45, comes into force and is not overwritten

  Scenario: a fresh instance writes no policy again
    Given a policy "first" is in force as of 2.40, the first one known here
    Then nothing is written again, whatever the store holds
