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
