Feature: One gateway tells apart which part of a prompt crashes its upstreams
  Guards against evidence that is kept under whole requests only, while a part that they share is
  the cause, and against evidence that sticks to the parts beside it.

  Background:
    Given a gateway that finds out which upstreams have crashed

  # No two requests are alike, so no count of whole requests passed one.
  Scenario Outline: the part in each crash is refused, its neighbours are not
    When streams with prompts "<first>" and "<second>" crash their engines
    Then a stream with prompt "<third>" <result>

    Examples:
      | first          | second         | third        | result             |
      | f1,dead,a0     | f1,dead,a1     | f1,dead,a2   | is refused at once |
      | dead,f1,a0     | dead,f1,a1     | f1,b0,dead,a | is refused at once |
      | f1,dead,a0     | f2,dead,a1     | f3,dead,a2   | is refused at once |
      | f1,DEAD,a0     | f2,dead,a1     | f3,dead,a2   | is refused at once |
      | f1,no hex!,a0  | f2,no hex!,a1  | no hex!,a2   | is refused at once |
      | f1,dead,a0     | f1,dead,a1     | f1,a2        | is served whole    |
      | f1,dead,a0     | f2,dead,a1     | f2,a2        | is served whole    |
      | f1,c3,dead,a0  | f1,c3,dead,a1  | f1,c3,a2     | is served whole    |
      | a0,dead        | a1,dead        | a2,dead      | is served whole    |
      | f1,dead,a0     | f2,beef,a1     | f3,dead,a2   | is served whole    |

  # Parts that always stand together were in the same crashes; a success tells them apart.
  Scenario: a success of a neighbour convicts the other part alone
    When streams with prompts "f1,dead,a0" and "f1,dead,a1" crash their engines
    Then a stream with prompt "f1,a2" is served whole
    And a stream with prompt "f2,dead,a3" is refused at once

  # A caller's request may have hundreds of parts.
  Scenario: only the first parts of a prompt are tracked
    When streams with prompts of 300 parts and then "dead" crash their engines
    Then at most 17 subjects are tracked for each of them

  # An answer without a length ends as a crash does, so nothing was ever cleared where none has one.
  Scenario: answers without a length exonerate a part once their upstream is known to live after the end
    Given all engines but one have left
    And its process gives no answer that shows its state
    When a stream with prompt "f1,a0" ends with its connection, and its process is not known
    Then nothing is known of the part "f1"
    When its process answers probes again
    And a stream with prompt "f1,a1" is answered without a length
    Then the part "f1" has succeeded

  # Each start of an upstream has an id of its own, and one that has left answers no more.
  Scenario: ends of answers without a length take bounded memory
    When 100 answers without a length have ended at each of 300 upstreams
    Then none of them is known to be whole, and none is kept

  # Two sound runs that ended by chance on crashed engines must not ban their part for long.
  Scenario: a run under way exonerates its parts, and answers without a length are probed for it
    Given a peer reports crashes under the part "f1" alone, 31 s ago
    When a stream with prompt "f1,a0" is answered without a length
    Then the part "f1" has no crashes that count

  # Guards against a crash that counts against a request whose upstream lived after the response.
  Scenario Outline: an answer without a length is not held responsible for a later crash
    When <request> with prompt "f1,a0" is answered without a length, and its upstream crashes later
    Then no run counts as broken by the crash, and the part "f1" has succeeded

    Examples:
      | request  |
      | a call   |
      | a stream |

  # The end of a crashed upstream's answer looked like the end of a whole one.
  Scenario Outline: an answer without a length that ends with its upstream is a crash
    Given <path> with prompt "f1,dead,a0" and "f2,dead,a1" are answered without a length and end their upstreams <how>
    And other <path> find that both have ended
    Then <request> with prompt "f3,dead,a2" is refused

    Examples:
      | path    | request  | how              |
      | streams | a stream | after the head   |
      | streams | a stream | after an event   |
      | streams | a stream | inside an event  |
      | calls   | a call   | after the answer |

  # A stream that had no event yet was passed on as a whole one.
  Scenario Outline: a stream without a length that ends early is broken off
    When a stream with prompt "f1,a0" is answered without a length and ends <how>
    Then it is not whole

    Examples:
      | how             |
      | after the head  |
      | inside an event |

  # A rejection by the upstream's application says nothing about writing an answer.
  Scenario Outline: only a response that was written exonerates a part
    Given a peer reports crashes under the part "f1" alone, 31 s ago
    When <request> with prompt "f1,a0" is answered <how>
    Then the part "f1" <counts>

    Examples:
      | request  | how                | counts                        |
      | a call   | with 404           | has crashes that count        |
      | a call   | with 500           | has crashes that count        |
      | a call   | with 200           | has no crashes that count     |
      | a stream | without any event  | has crashes that count        |
      | a stream | with events        | has no crashes that count     |

  # A request was sent on that had been quarantined while its connection was opened.
  Scenario Outline: a request that is quarantined while its connection is opened is not sent
    When <request> with prompt "f1,a0" opens its connection as a peer reports crashes under "f1"
    Then it is refused, and no upstream got it

    Examples:
      | request  |
      | a call   |
      | a stream |

  # Each instance knew of two crashes, and none of them had noticed both.
  Scenario: who has noticed one of two crashes stores the quarantine
    When a stream with prompt "f1,dead,a0" crashes its engine
    And a peer reports one other crash under the part "dead"
    Then the quarantine of the part "dead" is stored
    And it is stored and read again with its companions

  # Several peers reported one crash each; a third instance refused a part that is served all the time.
  Scenario: evidence of several peers against a part that has just succeeded is answered to all
    Given a stream with prompt "f1,a0" is served whole
    When two peers report one crash each under the part "f1"
    Then all peers are told of its success

  Scenario: an operator sees the part, what it stands with and who is refused, and clears it
    When streams with prompts "f1,dead,a0" and "f1,dead,a1" crash their engines
    And a stream with prompt "f1,dead,a2" is refused at once
    Then "driftstall crashes" names the part "dead" with its kind, companions, refusals and workspace
    And "driftstall explain" shows the crashes under the part of a refused request
    When the operator clears the parts "dead" and "f1"
    Then a stream with prompt "f1,dead,a3" is served whole
