Feature: Nothing new goes to the upstreams of a cordoned zone
  Operators cordon an availability zone in the platform before they empty it. Its upstreams stay
  listed and report that they are ready.

  Scenario: what is known of cordons is what the newest word says, in whatever order words come
    Then no drawn order of lists, changes and peers' words leaves a wrong cordon, from seed 31

  Scenario: a cordon that is lifted at the revision at which it was made stays lifted
    Given a book that knows of a cordon of "a" at revision 7
    When that cordon is told to be gone at revision 7
    And a peer still holds it
    Then no zone is cordoned

  Scenario: an object that cannot be read cordons its zone by its name alone
    Given a store that lists a cordon of "a" whose content is a text
    Then the zones "a" are cordoned

  Scenario Outline: <what> goes to another zone
    Given a gateway whose first two engines stand in zone "a", the third in zone "b"
    When zone "a" is cordoned <when>
    Then a new stream runs in zone "b"

    Examples:
      | what                         | when                                          |
      | a new stream                 | before it comes                               |
      | one placed just before       | while its connection is being opened          |

  Scenario: a stream does not go on at a copy in a cordoned zone
    Given a gateway whose first two engines stand in zone "a", the third in zone "b"
    And a stream in zone "b" whose copy is kept in zone "a"
    When zone "a" is cordoned and the engine of the stream breaks off
    Then nothing was sent to zone "a"

  Scenario: a copy is kept in no cordoned zone
    Given a gateway whose first two engines stand in zone "a", the third in zone "b"
    When zone "b" is cordoned before it comes
    Then a new stream keeps its copy in zone "a"

  Scenario: where all zones are cordoned callers are told at once to come back
    Given a gateway whose first two engines stand in zone "a", the third in zone "b"
    When zones "a" and "b" are cordoned
    Then a new stream is refused within 0.2 s with a time to come back
    And a call is still served once zone "a" is free again

  Scenario: an instance is not ready before it knows of cordons, where the site has them
    Given an instance of a site with cordons that has read routes and upstreams
    Then it is not ready until a peer tells of cordons

  Scenario: real instances learn of a cordon in time, also with the store silent or away
    Given the store's stand-in with a routing configuration and 2 upstreams
    And two gateway processes of a site with cordons, the second behind a gate
    When the gate falls silent and zone "b" of "i-2" is cordoned
    Then within 2.5 s all send to "i-1" alone
    And so does a third one that starts while the store cannot be reached from it
    And within 2.5 s of the cordon's end all send to "i-2" again
