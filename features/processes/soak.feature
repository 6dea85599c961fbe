Feature: A short fault soak
  Real gateway processes under random faults of one seed; longer runs are started manually.

  Scenario: the promises hold under the faults of one seed
    Given a soak of seed 5 with 3 instances for 12 s
    Then it breaks no promise

  Scenario: what ends each engine is sent on no more, and ordinary streams are served beside it
    Given a soak of the plan "crashing", seed 31, with 4 instances and 8 callers for 18 s
    Then it breaks no promise

  Scenario: nothing is sent to upstreams that have left while connections fall silent
    Given a soak of the plan "leaving", seed 769, with 4 instances and 8 callers for 18 s
    Then it breaks no promise

  Scenario: engines that leave in series while the store is silent get nothing new
    Given a soak of the plan "unseen", seed 801, with 4 instances and 8 callers for 18 s
    Then it breaks no promise

  Scenario: streams that queue for memory start once and are answered in time, or have not run
    Given a soak of the plan "contended", seed 1101, with 4 instances and 12 callers for 20 s
    Then it breaks no promise

  Scenario: upstreams that name a limit get no more than it allows
    Given a soak of the plan "limited", seed 21, with 4 instances and 12 callers for 24 s
    Then it breaks no promise

  Scenario: nothing is sent to upstreams that signal that they leave, or that they want no requests
    Given a soak of the plan "signalling", seed 901, with 4 instances and 8 callers for 18 s
    Then it breaks no promise

  # Guards against callers of instances that reach no upstream being served by nobody.
  Scenario: callers of instances that are partitioned from all upstreams are served
    Given a soak of the plan "partitioned", seed 301, with 6 instances and 14 callers for 24 s
    Then it breaks no promise

  # Guards against retries of all instances together that exceed the budget they share.
  Scenario: retries stay within the shared budget while upstreams turn bursts of streams away
    Given a soak of the plan "rejecting", seed 6102, with 6 instances and 10 callers for 16 s
    Then it breaks no promise

  # Guards against truncated responses that are told to callers as whole ones.
  Scenario: no response that ends early looks whole
    Given a soak of the plan "truncated", seed 2, with 4 instances and 12 callers for 16 s
    Then it breaks no promise

  # Guards against starts that fail, instances that end by themselves, and odd entries that hide others.
  Scenario: starts that are disturbed succeed, and odd entries hide nothing
    Given a soak of the plan "disturbed", seed 349, with 4 instances and 12 callers for 24 s
    Then it breaks no promise
