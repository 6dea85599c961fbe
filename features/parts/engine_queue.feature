Feature: The queue for engine memory
  Pure functions on numbers that can be checked by hand. Each scenario names the load that it answers.

  Scenario: ranks come first
    Load: short and long generations of several ranks wait for the same engines.
    Given these requests wait
      | id    | rank | route | start by |
      | batch | 1    | 0     | 100.5    |
      | long  | 0    | 1     | 100.5    |
      | short | 0    | 0     | 104.0    |
    Then they are granted in the order "short long batch"

  Scenario: a request that can still meet its target comes before one that no longer can
    Load: more arrives for some seconds than the engines hold, so some requests are late anyway.
    Given these requests wait
      | id        | workspace | arrived | start by |
      | late      | north     | 95.0    | 99.0     |
      | later     | plains    | 94.0    | 98.0     |
      | in-time   | north     | 99.0    | 103.0    |
    Then they are granted in the order "in-time later late"

  Scenario: least slack comes first within a workspace
    Load: generations of one workspace have different targets.
    Given these requests wait
      | id      | arrived | start by |
      | patient | 96.0    | 104.0    |
      | urgent  | 98.0    | 101.0    |
    Then they are granted in the order "urgent patient"

  Scenario: a flooding workspace lengthens only its own wait
    Load: one workspace sends fifty generations at once, another one sends two.
    Given 50 requests of "flood" wait, and then 2 of "quiet"
    Then the 2 of "quiet" are among the first 4

  Scenario: shares weigh the tokens of workspaces
    Load: two workspaces with different shares wait for memory all the time.
    Given 30 requests of "large" with share 2 wait, and 30 of "small" with share 1
    Then of the first 15 granted 10 are of "large"

  Scenario: a workspace that never has two requests waiting gets no more than its share
    Load: one workspace sends its next request as soon as one is granted, another one has a backlog.
    Given 30 requests of "backlog" wait
    When "single" asks again each time that one of its requests is granted, for 20 grants
    Then 10 of the 20 are of "single"

  Scenario: service at another rank is not held against a workspace that arrives
    Load: short generations are granted while the long ones of a flooding workspace are blocked.
    Given 20 long requests of "flood" wait
    When 40 short requests of "chat" are granted, and then a long one of "quiet" arrives
    Then the long one of "quiet" is among the first 2 long ones

  Scenario: a small request fills a gap that the first one can't use
    Load: a long generation fits nowhere, and short ones of a lower rank would fit.
    Given an engine with 1500 of 10000 tokens free
    And these requests wait
      | id    | rank | tokens |
      | long  | 0    | 4000   |
      | small | 1    | 1000   |
    When memory is granted
    Then "small" was granted

  Scenario: a blocked request starts after a bounded amount of overtaking
    Load: small requests fill each gap, so that a long one would never find room.
    Given an engine with 1500 of 10000 tokens free
    And these requests wait
      | id    | rank | tokens |
      | long  | 0    | 4000   |
    When one request of 1000 tokens arrives and one ends each 0.1 s, until "long" starts
    Then 8 requests have overtaken "long"

  Scenario: engines that a blocked request may not use are not kept free for it
    Load: a long generation was turned away by an engine, and waits for another one.
    Given engines "e-1" with 1500 and "e-2" with 9000 tokens free
    And a long request of 4000 tokens waits that may not use "e-2"
    And 20 requests of 1000 tokens and a lower rank wait
    When memory is granted on these engines until nothing more starts
    Then "e-1" was given 1 request and "e-2" was given 9

  Scenario: one pass does a bounded amount of work
    Load: many requests wait when the memory of many engines becomes free, or when it is lost.
    Given 300 requests of "north" wait
    Then one pass with room for all grants 16, and one check without hope for any refuses 4

  Scenario: memory is reserved for urgent short work
    Load: short generations arrive steadily beside long ones that would fill all memory.
    Given 50 short urgent requests of 2000 tokens and 0.5 s a second for 10 s, beside a long one
    Then on 1000000 tokens long requests may fill 0.91 and urgent ones 1.02

  Scenario: the reserve has a maximum
    Load: a flood of urgent requests would reserve all memory.
    Given 500 short urgent requests of 2000 tokens and 0.5 s a second for 10 s, beside a long one
    Then on 1000000 tokens long requests may fill 0.83 and urgent ones 1.02

  Scenario: a reserve ends with the arrivals that it is for
    Load: a burst of urgent requests is over.
    Given 50 short urgent requests of 2000 tokens and 0.5 s a second for 10 s, beside a long one
    Then after 30 s, on 1000000 tokens long requests may fill 0.98 and urgent ones 1.02

  Scenario: an engine gets no more prompts than it prefills within half a second
    Load: many engines become free at once, and long prompts would fill their prefill before a short one.
    Then an engine that has 4000 tokens to prefill may get a prompt of 3000, and not one of 3100
    And an engine that prefills nothing may get a prompt of 20000

  Scenario: starts are forecast from what is released
    Load: requests wait, and runs with known ends hold the memory.
    Given 1000 tokens are free, and 3000 more at 102 s and 3000 more at 105 s
    And these requests wait
      | id     | tokens | hold | start by |
      | first  | 1000   | 1    | 101.0    |
      | second | 4000   | 10   | 102.0    |
      | third  | 3000   | 10   | 103.0    |
      | never  | 9000   | 10   | 104.0    |
    Then their starts are forecast at "100 102 105 inf"

  Scenario: only what can't start before it gives up is refused
    Load: more is asked for than can start in time.
    Given 0 of 10000 tokens are free, and 4000 more at 102 s and 4000 more at 110 s
    And these requests wait
      | id     | tokens | hold | start by | gives up |
      | first  | 4000   | 10   | 101.0    | 106.0    |
      | second | 4000   | 10   | 102.0    | 106.0    |
      | third  | 4000   | 10   | 103.0    | 120.0    |
    When overload is checked
    Then "second" was refused

  Scenario: no more are refused than needed
    Load: the last of many waiting requests can't start in time; the others can.
    Given 0 of 10000 tokens are free, and 4000 more at 102 s and 4000 more at 104 s
    And these requests wait
      | id     | tokens | hold | start by | gives up |
      | first  | 4000   | 4    | 101.0    | 105.0    |
      | second | 4000   | 4    | 102.0    | 105.0    |
      | third  | 4000   | 4    | 103.0    | 105.0    |
    When overload is checked
    Then "third" was refused
    When overload is checked
    Then "" was refused

  Scenario: the least urgent is refused first, then the largest workspace
    Load: several requests are hopeless, and one refusal gives room to the others.
    Given 0 of 10000 tokens are free, and 4000 more at 102 s
    And these requests wait
      | id       | workspace | rank | tokens | hold | start by | gives up |
      | urgent   | quiet     | 0    | 4000   | 2    | 100.2    | 101.5    |
      | flood-1  | flood     | 1    | 4000   | 1    | 100.5    | 103.5    |
      | flood-2  | flood     | 1    | 4000   | 1    | 100.6    | 106.5    |
      | quiet    | quiet     | 1    | 4000   | 1    | 100.7    | 104.5    |
    When overload is checked
    Then "flood-1 urgent" was refused

  Scenario: what may not be refused is not
    Load: the policy keeps a workspace from being refused.
    Given 0 of 10000 tokens are free, and 4000 more at 110 s
    And these requests wait
      | id     | tokens | gives up | may refuse |
      | strict | 4000   | 106.0    | no         |
    When overload is checked
    Then "" was refused

  Scenario: nothing is refused while half of the memory is free
    Load: a request waits for another reason than memory.
    Given 5100 of 10000 tokens are free, and 4000 more at 110 s
    And these requests wait
      | id   | tokens | gives up |
      | wide | 6000   | 106.0    |
    When overload is checked
    Then "" was refused

  Scenario: what is kept free for urgent work does not count as used
    Load: long requests wait below a limit, and little of the memory is in use.
    Given 2000 of 10000 tokens are free below the limit, and 4000 are in use until 110 s
    And these requests wait
      | id   | tokens | gives up |
      | wide | 6000   | 106.0    |
    When overload is checked
    Then "" was refused

  Scenario: Retry-After is the forecast start
    Load: a caller is refused and has to know when there is room.
    Given 0 of 10000 tokens are free, and 4000 more at 110 s
    And these requests wait
      | id   | tokens | gives up | arrived |
      | long | 4000   | 106.0    | 99.0    |
    When overload is checked
    Then "long" was refused
    And it is told to come back after 10 s to 11 s

  Scenario: a caller that comes back in time takes its place
    Load: others arrive while a refused caller waits to come back.
    Given a request that was refused at 100 s until about 110 s
    And others that have arrived at 105 s and can still start in time
    When it comes back at its time
    Then it is the first in the queue, also after it has asked again

  Scenario: one that comes back early or at once gains nothing
    Load: a refused caller repeats its request without waiting.
    Given a request that was refused at 100 s until about 110 s
    And others that have arrived at 105 s and can still start in time
    Then coming back at once or after 5 s it waits like a new one, and the place stays
    And if it is refused again then, it is told the time that is left

  Scenario: one that comes back early is served if nothing waits
    Load: the overload has ended sooner than forecast.
    Given a request that was refused at 100 s until about 110 s
    Then coming back after 5 s with nothing waiting is accepted

  Scenario: a place counts for those who come later
    Load: requests arrive while a refused caller is expected back.
    Given a request that was refused at 100 s until about 110 s
    And 4000 tokens are released at 112 s and 4000 at 120 s
    Then a later request of the same rank is forecast to start at 120 s

  Scenario: a place that nobody takes expires
    Load: a refused caller goes elsewhere.
    Given a request that was refused at 100 s until about 110 s
    Then no place is reserved 5.1 s after its time

  Scenario: a burst of long generations does not make the short ones late
    Load: 2.6 times the long generations for 7 s beside short ones, most of them from one workspace.
    Given 9 engines of 26900 tokens, and a burst of one workspace's long generations for 7 s
    Then at least 97 of 100 short requests start within their target
    And no workspace within its share is refused
