Feature: What an upstream signals of its leaving is final for its start
  The fleet of one instance, without a network. Each scenario covers a way in which an instance could
  keep sending requests to an upstream that had signalled in a response that it leaves.

  Background:
    Given a fleet of 3 upstreams
    And "u1" has signalled at 10 s that it leaves

  # Guards against entries, lists and peers' updates, newer or older, that state that it is ready.
  Scenario Outline: <news> does not end it
    When the fleet takes in <news> at 10.5 s
    Then "u1" takes no requests
    And "u1" may be sent what has run there at 11.9 s, and nothing at 12.1 s

    Examples:
      | news                           |
      | a newer entry that is ready    |
      | the same list again            |
      | a newer list                   |
      | a peer's list                  |
      | a peer's entry                 |
      | a list after the store's return |

  # Guards against a signal that expires like the result of a probe.
  Scenario: the lapse of a probe's finding does not end it
    When a probe finds "u1" leaving at 10.2 s
    And time passes until 15 s
    Then "u1" takes no requests

  # Guards against a later notice, or a removal, that restarts the drain time.
  Scenario Outline: the time to drain runs from the signal, not from <later>
    When the fleet takes in <later> at 11.5 s
    Then "u1" may be sent nothing at 12.1 s
    And it is told once that "u1" is leaving

    Examples:
      | later                     |
      | its entry that is leaving |
      | its entry's removal       |

  # Guards against the loss of a signal that an instance which has just started receives before the entry.
  Scenario: an upstream whose signal was heard before its entry takes no requests
    Given "u9" has signalled at 10 s that it leaves
    When the fleet takes in an entry of "u9" at 11 s
    Then "u9" takes no requests
    And "u9" may be sent nothing at 12.1 s

  # Guards against peers that miss the removal of its entry because the fleet's digest does not change.
  Scenario: its entry's end changes what instances compare
    When the fleet takes in its entry that is leaving at 11 s
    Then the hash of the listed upstreams is another one than before

  # Guards against a refusal while a draining upstream is the only one left to try.
  Scenario: a call that fails at the only other upstream is tried at one that drains
    Given a gateway before two plain upstreams and three engines
    And one plain upstream has signalled that it leaves, and the other one answers 500
    When "/safe/a" is asked as "r1"
    Then the answer is 200 "whole" with the upstream's seal

  # Guards against a signal that is attributed to a later start, or to another upstream at the address.
  Scenario: a later start under its name takes requests
    When a later start of "u1" is listed at 11 s
    Then the later start takes requests

  # Guards against crashes attributed to requests that were running when an upstream ended as announced.
  Scenario: its end was announced
    Then the end of "u1" counts as announced, that of "u2" does not

  # Guards against peers that keep publishing signals of upstreams that were removed long ago.
  Scenario: it is forgotten some time after its entry, and not learned again from a peer
    When the fleet takes in its entry's removal at 11 s
    And time passes until 140 s
    And a peer tells at 140 s of the signal of "u1", 130 s old
    Then no signal is known
