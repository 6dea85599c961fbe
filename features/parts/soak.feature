Feature: The checks of the fault soak
  Each check fails on the violation that it must find, and only on that.

  Scenario: a run in which all was well breaks no promise
    Given the record of a run in which all was well
    Then no promise is broken

  Scenario Outline: what is wrong is found
    Given the record of a run in which all was well
    When in the record <what>
    Then a promise is broken: "<line>"

    Examples:
      | what                                                   | line                                     |
      | a call that may run once has run twice                 | ran 2 times                              |
      | a refused call has run                                 | said not to have run, but ran            |
      | a refusal names no time to come back                   | refused without a time to come back      |
      | a success has no mark of an upstream                   | a success that no upstream gave          |
      | a success has another body                             | a success with another body              |
      | a stream lacks an event                                | events out of order or missing           |
      | a stream repeats an event                              | events out of order or missing           |
      | a stream ends as complete too early                    | ended as complete after 2 events         |
      | a short stream ends as complete too early              | ended as complete after 1 events         |
      | a short stream has run twice                           | ran 2 times                              |
      | a short stream is denied                               | denied though every configuration allows |
      | a refused short stream has run                         | said not to have run, but ran            |
      | a short stream has no answer for 4 s                   | no final answer for 4.0 s                |
      | streams should have waited for memory and none has     | no stream has waited for engine memory   |
      | a pace should have changed and no instance noticed     | no instance has noticed a change of pace |
      | a known route is denied                                | denied though every configuration allows |
      | an upstream has run what nobody asked                  | nobody asked for this                    |
      | an upstream has run another path                       | nobody asked for this                    |
      | an upstream got a call 3 s after its notice            | after its notice                         |
      | an upstream got a call 3.5 s after its zone was cordoned | its zone was cordoned                  |
      | a cold upstream got more calls than it bears           | requests within a second                 |
      | an upstream got more calls than its limit allows       | takes 2 a second and got 18 requests     |
      | a request was sent on after three upstreams had ended under it | was sent on 4 times              |
      | a prompt part was sent on after five upstreams had ended under it | was sent on 4 times           |
      | streams beside a fatal prompt part are seldom served   | of sound streams served beside fatal     |
      | calls that end nothing are refused for it              | 4 requests refused that end nothing      |
      | an added route is denied by a calm instance            | an added route is not known              |
      | a dropped route is served by a calm instance           | a dropped route is still served          |
      | a calm instance gives no answer for 4 s                | no final answer for 4.0 s                |
      | callers of a partitioned instance are not served       | partitioned instances served 0 of 15     |
      | the last calls were not served                         | of the last                              |
      | a process has ended by itself                          | ended by itself                          |
      | a stopping instance cuts a call that it has sent on    | lost 1.00 s after SIGTERM                |
      | a stopping instance cuts a call 1 s after it was sent  | lost 1.00 s after SIGTERM                |
      | a stopping instance cuts a call late that was sent late | lost 3.90 s after SIGTERM               |
      | a process was not ready after its start                | not ready 8 s after its start            |
      | an upstream that joined got none of 80 requests        | got none of 80 requests                  |
      | calls have been sent again too often                   | retries within 10 s at portal            |

  Scenario Outline: what a disturbance explains is not held against it
    Given the record of a run in which all was well
    When in the record <what>
    And its instance was disturbed at that time
    Then no promise is broken

    Examples:
      | what                                         |
      | an upstream got a call 3 s after its notice  |
      | an upstream got a call 3.5 s after its zone was cordoned |
      | an upstream got more calls than its limit allows |
      | a request was sent on after three upstreams had ended under it |
      | a prompt part was sent on after five upstreams had ended under it |
      | an upstream that joined got none of 80 requests |
      | calls that end nothing are refused for it    |
      | an added route is denied by a calm instance  |
      | a dropped route is served by a calm instance |
      | a calm instance gives no answer for 4 s      |
      | a short stream has no answer for 4 s         |

  Scenario Outline: what is no fault of a stopping instance is not held against it
    Given the record of a run in which all was well
    When in the record <what>
    Then no promise is broken

    Examples:
      | what                                                              |
      | a stopping instance cuts a call that its upstream broke off       |
      | a stopping instance cuts a call that was killed 0.3 s before      |
      | a stopping instance cuts a call that has used its time            |
      | a stopping instance cuts a call that crosses the close            |
      | a stopping instance cuts a call that still runs at the end        |
      | another instance cuts a call                                      |

  # Guards against a check that takes a fatal request for a sound one, as others ended its upstreams.
  Scenario: a fatal request may be refused before it has ended an upstream itself
    Given the record of a run in which all was well
    When in the record a fatal request that has ended nothing yet is refused
    Then no promise is broken

  Scenario: a disturbance that is long over explains no request after a notice
    Given the record of a run in which all was well
    When in the record an upstream got a call 3 s after its notice
    And its instance was disturbed 4 s before that
    Then a promise is broken: "after its notice"

  Scenario: a notice counts only once the store has taken it
    Given an upstream of the soak whose entry another step makes just before its notice is written
    When it leaves
    Then the store holds its notice

  Scenario: a partition that hangs establishes no connection until it ends
    Given a proxy with an open connection
    When it partitions by "hang"
    Then nothing passes on the open connection, which is not closed either
    And a new connection is not established
    When the partition ends
    Then a new connection passes everything

  Scenario: a partition that refuses new connections leaves the open ones alone
    Given a proxy with an open connection
    When it partitions by "refuse new"
    Then the open connection passes everything
    And a new connection is refused
    When the partition ends
    Then a new connection passes everything

  Scenario: connections that have fallen silent pass nothing on, and new ones do
    Given a proxy with an open connection
    When its open connections fall silent
    Then nothing passes on the open connection, which is not closed either
    And a new connection passes everything

  Scenario: a connection through a proxy may rest
    Given a proxy with an open connection
    Then the open connection is not closed within 2.2 s

  Scenario: upstreams that leave are what one plan is about
    Then seed 7 gives that plan notices, removals and connections that fall silent

  Scenario: truncated responses are what one plan is about
    Then seed 7 gives that plan early ends of responses, kills and notices, and always the same

  Scenario: upstreams of that plan end responses in each way, and some have odd statuses
    Given an upstream of the soak that truncates responses
    Then its plans end responses in each way, and some have odd statuses

  Scenario Outline: an upstream that closes a response early lives on and answers probes or not
    Given an upstream of the soak that truncates responses
    When it closes a close-delimited response early, and answers probes with <health> then
    Then the response is closed in order after its pieces, and probes are answered "<health>"

    Examples:
      | health |
      | 200    |
      | 503    |
      | none   |

  Scenario Outline: an upstream of that plan sends statuses that HTTP does not know
    Given an upstream of the soak that truncates responses
    When it sends a head with the status <status>
    Then its status line begins with "HTTP/1.1 <line> "

    Examples:
      | status | line |
      | 0      | 000  |
      | 99     | 099  |
      | 600    | 600  |

  # Guards against a caller of the soak that takes the end of a connection for a statement.
  Scenario Outline: callers record what a response stated, and how it ended
    Given a caller of the soak, and a server whose response <what>
    Then the caller records "<states>"

    Examples:
      | what                             | states             |
      | has a length and is whole        | is_framed complete |
      | has a length and is closed early | is_framed is_cut   |
      | has chunks and is closed early   | is_framed is_cut   |
      | is close-delimited and closed    | is_closed          |
      | is close-delimited and reset     | is_cut             |

  # Guards against an entry that takes an older state after a newer one, as both were written while the store was silent.
  Scenario: an entry that an upstream writes twice while the store is silent keeps the newer state
    Given an upstream of the soak that truncates responses
    When it writes that it is ready to a silent store, and that it is draining once the store answers
    Then its entry stays draining

  Scenario: a process that ends closes all its connections in order
    Given an upstream of the soak that truncates responses
    And two open connections to it
    When its process ends there
    Then both connections are closed in order
    And its address refuses connections

  Scenario: a process that restarts closes all its connections in order and has another id
    Given an upstream of the soak that truncates responses
    And two open connections to it
    When its process restarts there
    Then both connections are closed in order
    And another process answers at its address, and its entry names the address

  Scenario: a link to a replaced process closes its connections in order and passes new ones
    Given a proxy with an open connection
    When its target is replaced by another one
    Then the open connection is closed in order

  Scenario Outline: a truncated response that looks whole is found
    Given the record of a run of truncated responses in which all was well
    When in that record <what>
    Then it shows "<line>", and a whole record shows nothing

    Examples:
      | what                                                       | line                                         |
      | a stream is complete after 7 events                        | ended as complete after 7 events             |
      | a stream is complete without an event                      | ended as complete after 0 events             |
      | a stream is complete though its last event was not sent    | complete though no upstream has sent the last |
      | a stream has an event that was not sent                    | events that no upstream has sent: [7]        |
      | a stream has an event with other bytes                     | a stream with other bytes than its upstreams |
      | a stream was joined inside an event                        | a stream with other bytes than its upstreams |
      | a call is complete after half of its body                  | a success with another body                  |
      | a call is complete with an empty body                      | a success with another body                  |
      | a call is complete though its body was not sent to the end | upstreams have sent 19 pieces of 20          |
      | a part of a call has other bytes                           | a response with other bytes                  |
      | no close-delimited response has ended early                | so the run shows nothing of them             |
      | no living process has closed a response early              | so the run shows nothing of that             |
      | no living process has closed a stream early                | so the run shows nothing of streams          |
      | a call is complete though its upstream framed nothing      | no upstream's framing has stated that        |
      | a stream is complete though its upstream framed nothing    | no upstream's framing has stated that        |
      | a call is complete though its framed response was cut      | no upstream's framing has stated that        |
      | a call is complete though its upstream's status was odd    | no upstream's framing has stated that        |
      | a call is closed early though its upstream reset it        | not by an upstream whose process lived on    |
      | a call is closed early though its process was gone         | not by an upstream whose process lived on    |
      | a call is closed early though its process restarted        | not by an upstream whose process lived on    |
      | a call is closed early though its upstream ended nothing   | not by an upstream whose process lived on    |
      | a call is closed early though its upstream framed it       | not by an upstream whose process lived on    |
      | a call is closed early though its process ended at once    | not by an upstream whose process lived on    |
      | a call is closed early though it ran again since           | not by an upstream whose process lived on    |
      | a call is closed early though another upstream did so      | not by an upstream whose process lived on    |
      | a call is closed before what its upstream sent             | closed before all that was sent              |
      | a stream is closed in order after 7 events                 | a stream closed in order before its end      |
      | a stream is closed in order after 7 events                 | ended as complete after 7 events             |
      | a stream is closed in order after 7 events                 | complete though no upstream has sent the last |
      | a whole stream is closed in order though its last event was not sent | complete though no upstream has sent the last |
      | a stopping instance resets a stream without framing before its last event | lost 1.00 s after SIGTERM     |
      | a stopping instance cuts a stream in chunks after its last event | lost 1.00 s after SIGTERM              |
      | the last calls are closed early                            | only 0 of the last 2 calls were served       |
      | calls and streams are closed early in another plan         | ended as complete after 7 events             |
      | calls and streams are closed early in another plan         | a success with another body                  |
      | an answer has the status 600                               | a status that HTTP does not know             |
      | an answer has the status 99                                | a status that HTTP does not know             |
      | an answer has the status 0                                 | a status that HTTP does not know             |

  # Guards against a reset that is held against a stop although nothing shows that the stream is whole.
  Scenario: a whole stream without framing that is reset in a planned stop is not held against the stop
    Given the record of a run of truncated responses in which all was well
    When in that record a stopping instance resets a whole stream without framing
    Then no promise is broken

  Scenario: disturbed starts and odd entries are what one plan is about
    Then seed 7 gives that plan signals in starts, addresses in use, spoiled settings and odd entries

  # Guards against a process that ends unnoticed since its successor runs.
  Scenario Outline: what ends a process decides whether it may end
    Given a watched process that <what> before its successor started
    Then the recorded exits are "<line>"

    Examples:
      | what                             | line                           |
      | ended by itself with 0           | x ended by itself with 0       |
      | was stopped and ended with 0     |                                |
      | was stopped and ended with 3     | x was stopped and ended with 3 |
      | was killed                       |                                |
      | was stopped, and killed later on |                                |

  Scenario: bursts, killed instances and engines that leave are what one plan is about
    Then seed 7 gives that plan bursts, kills and notices, and always the same

  Scenario: the configuration of that plan makes its streams queue
    Then streams of the plan "contended" queue and those of the plan "mixed" do not

  Scenario: plain upstreams of that plan report slots and a changing pace
    Given an upstream of the plan "contended" for plain calls
    Then it reports its slots, and both a normal and a slow pace
    And it rejects a call beyond its queue

  Scenario: a caller keeps its connections until the process is gone
    Given a caller with open connections to "instance-1" and "instance-2"
    When only "instance-2" is located any more
    Then it still sends to "instance-1"
    When "instance-1" closes the connection
    Then it sends to "instance-2" alone

  # Guards against callers that end unnoticed in runs of many processes.
  Scenario: a caller uses connections whose descriptors are beyond those of select
    Given a caller with open connections to "instance-1" and "instance-2"
    When its connection to "instance-1" has a descriptor of 1,100 or more
    And only "instance-2" is located any more
    Then it still sends to "instance-1"

  Scenario: a seed always gives the same plan, and leaves the end calm
    Then seed 7 gives one plan of overlapping faults, seed 8 another, both end early

  Scenario: two steps that restart an instance at once start it once
    Given an instance that ends slowly
    When two steps restart it at once
    Then it was started once

  Scenario: runs on one machine take no ports from each other
    Given another run that has taken a port
    Then none of 600 ports taken here is of its slice
