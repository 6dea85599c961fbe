Feature: The policy language
  An invalid policy is rejected with line, column, cause and fix, before anything is changed.

  Scenario Outline: a wrong policy, <what>
    Given the policy text <text>
    Then it is refused at line <line>, column <column>, with "<fix>"

    Examples:
      | what | text | line | column | fix |
      | unknown fact | policy "x" { rule a when kin == "b" {} } | 1 | 26 | write one of |
      | no last rule | policy "x" { rule a when kind == "b" {} } | 1 | 1 | end with a rule without 'when' |
      | unreachable | policy "x" { rule a {} rule b {} } | 1 | 24 | put the rule without 'when' last |
      | kinds mixed | policy "x" { rule a when kind < 5 {} rule b {} } | 1 | 26 | compare values of one kind |
      | no truth | policy "x" { rule a when kind {} rule b {} } | 1 | 14 | compare it with a value |
      | rank too high | policy "x" { rule a { rank 12; } } | 1 | 23 | choose a whole number |
      | queue rank too high | policy "x" { rule a { queue 12; } } | 1 | 23 | choose a whole number |
      | twice | policy "x" { rule a { share 1; share 2; } } | 1 | 32 | keep one of them |
      | name twice | policy "x" { rule a when load > 1 {} rule a {} } | 1 | 38 | a name of its own |
      | zero share | policy "x" { rule a { share 0; } } | 1 | 23 | above 0 |
      | overflow | policy "x" { overflow at most 80%; rule a {} } | 1 | 14 | below 50% |
      | cut off | policy "x" { | 1 | 12 | write one of |

  Scenario: nesting that would exhaust the stack
    Given a policy with 5000 nested parentheses
    Then it is refused at line 1, column 1, with "split it into rules"

  Scenario: the shipped policies
    Then each shipped policy is accepted and takes at most 100 steps

  Scenario: the first rule that holds decides, and says why
    Given the shipped policy "enrolment"
    When a "summary" of 4000 tokens is explained
    Then rule "long_summaries" decides with rank 3 after rule "chats" did not hold

  Scenario: the default policy that is built says what its text says
    Then the built default policy and its parsed text agree on every kind of request
