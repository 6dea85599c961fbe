Feature: The gateway's pure parts

  Scenario: an upstream that gives notice takes nothing new and is told of once
    Given a fleet of 3 upstreams
    When upstream "u1" gives notice twice
    Then it is told once that "u1" is leaving
    And "u1" takes no requests

  Scenario: the time to drain runs from the notice, not from the end of the entry
    Given a fleet of 3 upstreams
    When upstream "u1" gives notice, and 1.5 s later its entry is removed, twice
    Then 1.9 s after the notice "u1" may be sent what has run there
    And 2.1 s after the notice "u1" may be sent nothing

  Scenario: the time to drain of a notice that came late runs from the last word before it
    Given an instance that follows the platform, which lists "u1" and "u2"
    When the platform says nothing for 2.3 s, then that "u1" leaves
    Then "u1" may not be sent what has run there
    But "u2", which leaves 2.3 s later and is told of at once, may be

  Scenario: an entry that is removed stands for a notice
    Given a fleet of 3 upstreams
    When the entry of "u1" is removed
    Then it is told once that "u1" is leaving

  Scenario: old news cannot bring an upstream back
    Given a fleet of 3 upstreams
    When the entry of "u1" is removed
    And old news say that "u1" is ready
    Then "u1" takes no requests

  Scenario Outline: what has left is not revived by a peer that knows less
    Given an instance that follows the platform, which lists "u1" and "u2"
    When it learns that "u1" has left <how>
    And a peer's older list still holds "u1"
    Then "u1" takes no requests

    Examples:
      | how                            |
      | from the list of another peer  |
      | from a new list of its own     |

  Scenario: late news do not revive what a peer's newer list lacks
    Given an instance that follows the platform, which lists "u1" and "u2"
    When a peer's list as of revision 17 lacks "u1"
    And a peer's news of revision 15 say that "u1" is ready
    Then "u1" takes no requests
    When a peer's list as of revision 18 names "u1" at revision 16
    Then "u1" takes requests

  Scenario: what is known of upstreams follows the newest word, in whatever order words come
    Then no drawn order of true words, old and new, revives what has left, from seed 1

  Scenario: an entry that lapsed during an outage has time to come back
    Given a fleet of 3 upstreams
    When the platform was away and lists only "u2" and "u3" on its return
    Then "u1" takes requests
    And after 2.3 s without its entry "u1" takes no requests

  Scenario: an entry that goes late in the grace time is not kept beyond it
    Given a fleet of 3 upstreams
    When the platform was away and lists only "u1" and "u2" on its return
    And the entry of "u2" is removed 2 s after the return
    Then after 2.3 s without its entry "u2" takes no requests

  Scenario: what a peer tells during an outage holds at once
    Given a fleet of 3 upstreams
    When the platform is away and a peer tells that "u1" is gone
    Then "u1" takes no requests

  Scenario: an entry that is back in time was never missed
    Given a fleet of 3 upstreams
    When the platform was away and lists only "u2" and "u3" on its return
    And the entry of "u1" is back after 1.5 s
    Then after 2.3 s "u1" takes requests

  Scenario: the sums of all instances show what runs where
    Given a request of 1000 tokens on "u1" with a copy on "u2", and a peer's of 500 on "u1"
    Then "u1" has 1500 tokens running and "u2" has 1000 tokens of copies
    And the peer's sums count no more after 4 s
    And nothing is left once the request has ended

  Scenario: a stream goes to the engine with room
    Then of an engine with 30000 tokens in use and an empty one the empty one is chosen
    And a copy is kept on neither the own engine nor a full one

  Scenario: a move stays in its zone where it can
    Then of a far empty engine and a near one a quarter full the near one takes a move

  Scenario: an upstream that does not answer is left alone for a while
    When "u1" could not be reached 3 times
    Then it rests, longer than after the first time, and not for ever

  Scenario: an upstream whose first answers were slow is tried again
    Given a book of outcomes in which "u1" and "u2" answer in 30 ms each 0.1 s
    When "u3" joins, and gives its first two answers after 0.4 s
    Then no call goes to "u3" for the next 2 s, though the others are busy
    But one goes there within 20 s, though they are idle

  Scenario: an upstream that fails or is slow counts as fuller
    When half of the answers of "u1" are failures and those of "u2" take twice as long
    Then both have a penalty and "u3" has none

  Scenario: all instances together keep the retry budget
    Given 8 instances that share a budget of 50 repeats and a fifth of the requests
    When each has 10 requests and wants 100 repeats within 10 s, and none hears of others
    Then at most 66 repeats are made in all

  Scenario: one instance may use what the others leave
    Given 8 instances that share a budget of 50 repeats and a fifth of the requests
    When each has 10 requests and hears of the others, and one wants 100 repeats
    Then it makes more than twice its even part
    And the others, once they hear of it, make no more than the budget in all

  Scenario: both sides of a cut keep the retry budget together
    Given 8 instances that share a budget of 50 repeats and a fifth of the requests
    When each half hears only of itself and all want 100 repeats
    Then at most 66 repeats are made in all

  Scenario: an instance that was killed does not raise the others' part at once
    Given 8 instances are known and then 1
    Then the budget is still divided by 8, and by 1 after 31 s

  Scenario: a watch that is cut goes on where it was
    Given a feed whose watch is cut once
    Then it is listed once and no outage is told

  Scenario: a watch whose history is gone lists again
    Given a feed whose history is gone
    Then it is listed twice and no outage is told

  Scenario: a list that may be old is not read again where its history is gone
    An old list and a watch from its version, which the store has forgotten, would follow each other
    without a pause.
    Given a store that forgets its history, whose lists on demand are older than that
    When a feed of policies, which accepts old lists, is followed for 6 calls
    Then the old list was read once, a new one once, and all later calls are watches

  Scenario: an outage is told once, and its end before what it brings
    Given a feed that fails 5 times and answers again
    Then the outage is told once and its end before the next change

  Scenario Outline: a question on a dead connection is asked anew in time
    Then where an instance must have caught up after <seconds> s it has an answer 0.4 s earlier

    Examples:
      | seconds |
      | 2       |
      | 3       |
      | 4       |
      | 8       |

  Scenario: settings name every fault at once
    Given a settings file with a wrong address and without a zone
    Then reading it names both faults

  Scenario: a document that cannot be read is left out with a reason
    Given a stored entry without an address and a whole one
    Then only the whole one is listed

  Scenario: an entry that is removed without its content still counts as gone
    Given a watch that tells of a removed entry without its content
    Then the change says which upstream is gone

  Scenario Outline: an upstream whose entry cannot be read any more takes no requests
    Given an instance that follows the platform, which lists "u1" and "u2"
    When the entry of "u1" changes into one <flaw>
    Then "u1" takes no requests
    And "u2" takes requests

    Examples:
      | flaw                            |
      | without an address              |
      | without a service               |
      | whose slots are no number       |
      | without any content             |
      | that is a text                  |

  Scenario Outline: an answer of unexpected form is a question that failed
    Given a store that answers <body>
    Then its list and its watch report that the platform gave no answer

    Examples:
      | body                                        |
      | {}                                          |
      | []                                          |
      | null                                        |
      | {"events": 1, "items": 1, "at": 1}          |
      | {"events": [{}], "items": [{}], "at": 1}    |
      | {"events": [], "items": [], "at": "soon"}   |

  Scenario: an answer that comes byte by byte is given up in time
    Given a store that sends one byte every 50 ms
    Then a call of it fails within 2 s

  Scenario: instances are heard again after their connections have fallen silent
    Given two instances that exchange messages through a proxy
    When the open connections between them fall silent
    Then messages arrive again within 5 s

  Scenario: who follows the platform outlives an unexpected error
    Given a feed that is listed, fails in a way that nobody expects, and is listed again
    When it is followed
    Then it is listed twice and no outage is told
    And it is current again

  Scenario: others go on while a large routing document is decoded
    Then at least 20 turns of another greenlet pass while 1700 routes are decoded

  Scenario: a routing document only moves forward
    Given routing version 7 is in force
    When versions 5, 9 and 8 arrive
    Then version 9 is in force

  Scenario: the log is bounded and never waits
    Given a log whose reader takes nothing
    When 50 lines are written
    Then none has waited and the loss is counted
    And once the reader takes lines again the next one tells of the loss

  Scenario Outline: a log never waits, whatever standard output is
    Given a log whose reader takes nothing, on <output>
    When 50 lines are written
    Then none has waited and the loss is counted
    And once the reader takes lines again the next one tells of the loss

    Examples:
      | output                          |
      | a socket                        |
      | a pipe that can't be opened anew |

  # The log asked gevent's select, which lets other greenlets run even with a time-out of zero.
  Scenario: a log line lets no other greenlet run
    Given a log whose reader takes lines
    When 50 lines are written while 3 greenlets are ready
    Then none of them has run before the last line

  # Two greenlets found the same room, and the second write blocked the whole process.
  Scenario: greenlets that log at once never wait for the reader
    Given a log whose reader has room for one line
    When 3 greenlets write a line each
    Then none has waited, and 2 lines are counted as dropped once

  # select can't take descriptors of 1024 and more; the error came out of the log call.
  Scenario: a log with a high descriptor is written
    Given a log whose reader takes lines, with a descriptor above 1024
    When a line is written
    Then the reader gets it

  # Other processes share standard output, and may not expect that it refuses a write.
  Scenario: the log leaves the mode of a shared descriptor as it is
    Given a log whose reader takes lines
    Then another process that shares its descriptor still waits for the reader

  Scenario: one request's story is told from many logs
    Given logs of two instances that name request "r1"
    Then explaining "r1" shows its lines in order, and the notice of its upstream

  Scenario: the story of a refused request shows the crashes under those that asked the same
    Given logs that tell of crashes under "r1" and "r2", and of the refusal of "r3", which asks what "r1" did
    Then explaining "r3" shows the crashes under "r1" and its own refusal, and nothing of "r2"
