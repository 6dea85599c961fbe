Feature: Which request has crashed upstreams
  Dozens of requests break off in a crash, and one of them is the cause. Callers retry all of them.

  Scenario Outline: each rule on its own
    Given a request of which this is known: <known>
    Then after <seconds> s it <may>

    Examples:
      | known                                                             | seconds | may                 |
      | nothing                                                           | 0       | may be sent         |
      | 0 begun at a                                                      | 0       | may be sent         |
      | 0 begun at a, 1 begun at b                                        | 1       | waits for 30 s      |
      | 0 begun at a, 1 begun at b                                        | 30      | waits for 1 s       |
      | 0 begun at a, 1 begun at b                                        | 32      | may be sent         |
      | 0 begun at a, 1 begun at b, 40 begun at c                         | 41      | waits for 599 s     |
      | 0 begun at a, 1 begun at b, 40 begun at c, 700 begun at d         | 700     | waits for 3600 s    |
      | 0 under way at a, 1 under way at b                                | 1       | may be sent         |
      | 0 under way at a, 1 under way at b, 2 begun at c                  | 2       | waits for 30 s      |
      | 0 under way at a, 1 under way at b, 2 under way at c, 3 under way at d | 3  | waits for 30 s      |
      | 0 begun at a, 1 begun at a                                        | 1       | may be sent         |
      | 0 begun at a, 5 begun at a                                        | 5       | waits for 30 s      |
      | 0 under way at a, 1 begun at a, 2 begun at b                      | 2       | waits for 30 s      |
      | 0 begun at a, 1 begun at b, 2 well                                | 2       | may be sent         |
      | 0 begun at a, 1 well, 12 begun at b                               | 12      | may be sent         |
      | 0 well, 5 begun at a, 6 begun at b                                | 6       | may be sent         |
      | 0 well, 11 begun at a, 12 begun at b                              | 12      | waits for 30 s      |
      | 0 begun at a, 0 a peer tells of 1 at a 4 s ago                    | 4       | may be sent         |
      | 0 begun at a, 1 a peer tells of 1 at b 0 s ago                    | 1       | waits for 30 s      |
      | 0 begun at a, 1 a peer tells of 2 at a 0 s ago                    | 1       | waits for 30 s      |
      | 0 begun at a, 1 begun at b, 2 a peer tells of well 0 s ago        | 2       | may be sent         |
      | 0 begun at a, 1 begun at b, 2 well, 3 a peer tells of 2 at a 1 s ago | 3    | may be sent         |
      | 0 begun at a, 1 begun at b, 2 another was at a b and c            | 2       | may be sent         |
      | 0 begun at a, 1 begun at b, 2 another was at a and b              | 2       | waits for 29 s      |

  Scenario: what an instance knows takes bounded memory, and the strongest suspicion stays
    Given a request with two crashes, and 5000 others that callers have made up, with one each
    Then at most 1000 requests are remembered, and the one with two crashes is still refused
    And at most 64 are told, it among them
    And two hours later nothing is remembered

  Scenario Outline: a modelled fleet
    Given a modelled fleet: <load>
    Then from seeds 1 to <seeds> no fatal request crashes more than <most> engines in a minute
    And none is sent more than 3 times later than 3 s after its third crash
    And at most <wrongly> in 10000 ordinary requests are refused

    Examples:
      | load                                            | seeds | most | wrongly |
      | one fatal request                               | 8     | 4    | 10      |
      | one fatal request, ordinary ones of 2 sorts     | 4     | 4    | 1       |
      | one fatal request, ordinary ones of 20 sorts    | 4     | 4    | 10      |
      | one fatal request, an instance killed each 4 s  | 8     | 4    | 10      |
      | one fatal request, an instance cut off each 5 s | 8     | 5    | 10      |
      | three fatal requests                            | 4     | 5    | 100     |

  Scenario: the model sees instances that do not tell each other
    Given a modelled fleet: one fatal request
    Then with instances that tell each other nothing some seed from 1 to 4 crashes more than 4 engines

  Scenario: the model sees good ends that do not count
    Given a modelled fleet: one fatal request, ordinary ones of 20 sorts
    Then with good ends that do not count more than 10 in 10000 ordinary requests are refused

  Scenario: two instances that have seen more crashes under a request than are remembered come to rest
    Given two books with 9 crashes under a request, the first two of them noticed in different order
    When they tell each other what they know 3 times
    Then nothing of the third time was news to either

  Scenario: a good end grows no younger as it is told to and fro
    Given a request with two crashes, which ended well 20 s before them at one of two instances
    When they tell each other what they know 400 times, each word 50 ms on its way
    Then both still refuse the request

  # No two requests with a fatal part are alike, and all its other parts are shared with sound ones.
  Scenario Outline: a modelled fleet in which a prompt part is fatal
    Given a modelled fleet: <load>
    Then from seeds 1 to <seeds> no fatal request crashes more than <most> engines in a minute
    And none is sent more than 0 times later than 3 s after its fifth crash
    And at most <wrongly> in 10000 ordinary requests are refused

    Examples:
      | load                                       | seeds | most | wrongly |
      | a fatal part                               | 8     | 5    | 10      |
      | a fatal part beside a rare one             | 8     | 5    | 10      |
      | a fatal part, one first part               | 8     | 5    | 10      |
      | a fatal part, many first parts             | 8     | 5    | 10      |
      | a fatal part, unframed responses           | 8     | 5    | 10      |
      | a fatal part, an instance killed each 4 s  | 8     | 5    | 10      |
      | a fatal part, an instance cut off each 5 s | 8     | 5    | 10      |
      | two fatal parts                            | 4     | 5    | 100     |
      | a fatal part in a fleet of 60              | 2     | 5    | 10      |

  # Parts beside a fatal one are in the same crashes, and a rare one beside two fatal ones is in more.
  Scenario Outline: which prompts are refused after others have crashed
    Given requests with prompts "<crashed>" have crashed an upstream each
    Then a request with prompt "<asked>" <may>

    Examples:
      | crashed                                        | asked   | may         |
      | f1 dead, f1 dead                               | f1 dead | is refused  |
      | f1 dead, f1 dead                               | f1      | may be sent |
      | f1 dead, f1 dead                               | dead    | may be sent |
      | f1 dead, f1 dead, dead                         | f2 dead | may be sent |
      | f1 dead, f1 dead, dead, f3 dead                | f2 dead | is refused  |
      | f1 dead, f1 dead, dead                         | f1      | may be sent |
      | c3 dead, c3 dead, c3 beef                      | c3      | may be sent |
      | c3 dead, c3 dead, c3 beef, c3 beef             | c3      | may be sent |
      | c3 dead, c3 dead, c3 beef, c3 beef             | c3 beef | is refused  |
      | c3 dead, c3 dead, c4 dead, c5 dead             | c6 dead | is refused  |
      | c3 dead, c3 dead, c4 dead, c4 dead, c5 dead    | c6 dead | is refused  |
      | c3 dead, c4 dead                               | c6 dead | is refused  |
      | c3 dead and again, c4 dead                     | c6 dead | may be sent |
      | c3 dead and again, c4 dead, c5 dead            | c6 dead | is refused  |
      | c3 dead and again, c4 dead and again, c5 dead  | c6 dead | is refused  |
      | c3 dead and again                              | c3 dead | may be sent |
      | c3 dead and again                              | c4 dead | may be sent |

  # Callers choose the parts, and could push out what is known of whole requests.
  Scenario: made up parts take bounded memory, and push out no whole request
    Given a request with two crashes, and 5000 parts that callers have made up, with one each
    Then at most 3000 subjects are remembered, and the one with two crashes is still refused
    And at most 192 are told, it among them

  # Each instance tried a part again in the same moment, and each lost an engine.
  Scenario: instances try a part again one after another
    Given 8 instances that know of two crashes under a part
    Then the first tries it again after 30 s, and each other one 1 s after the one before it
