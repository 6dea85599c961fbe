Feature: Verification of responses that end with their connection
  Such a response is whole only if its upstream's process lived after its end.

  # Guards against a probe for each response where many end at once.
  Scenario: ends that wait at the same time share a probe
    Given a verifier whose probes find the process alive
    When 50 responses end at once
    Then the process is known to live after 50 of them
    And 1 probe was sent

  # Guards against a second probe for an end that is looked at only after the probe of the same moment has its answer.
  Scenario: an end that is checked after a later probe was answered needs no other
    Given a verifier whose probes find the process alive
    When a response ends, and its process is found alive
    And the check of another response that ended at the same time comes late
    Then the process is known to live after 2 of them
    And 1 probe was sent

  # Guards against a probe that is believed although it was sent before the end.
  Scenario: ends that come while a probe is under way share the next one
    Given a verifier whose probes wait
    When 20 responses end at once
    And 20 more end while their probe is under way, and the process ends after it
    Then the process is known to live after 20 of them
    And 2 probes were sent

  # Guards against a process that is taken for alive as its link is silent: it may have restarted behind that.
  Scenario: a process that does not answer is probed again, and its silence shows nothing
    Given a verifier whose first probe finds the process silent, and later ones find it ended
    When 20 responses end at once
    And 20 more end while their probe is under way, and the process ends after it
    Then the process is known to live after 0 of them
    And 3 probes were sent

  # Guards against ends that wait for further probes while the process has no place for a health check.
  Scenario: ends that come while probes wait in vain share their result
    Given a verifier whose probes wait, and find the process silent
    When 20 responses end at once
    And 20 more end while their probe is under way, and the process ends after it
    Then the process is known to live after 0 of them
    And 3 probes were sent

  # Guards against sound responses that count as cut as a health check had to wait for a slot.
  Scenario: a process that answers a further probe lives
    Given a verifier whose first probe finds the process silent, and later ones find it alive
    When 20 responses end at once
    And 20 more end while their probe is under way, and the process ends after it
    Then the process is known to live after 40 of them

  # Guards against an answer that a process gave before it ended.
  Scenario Outline: an answer to a request that was sent <sent_s> s after the end <counts>
    Given a verifier whose probes find the process <state>
    When a request is answered that was sent <sent_s> s after the end of a response
    Then the process is known to live after <alive> of them
    And <probes> probes were sent

    Examples:
      | sent_s | state | alive | probes | counts                      |
      | 0.5    | ended | 1     | 0      | shows that the process lives |
      | 0.0    | ended | 0     | 1      | shows nothing               |
      | -1.0   | ended | 0     | 1      | shows nothing               |

  # Guards against ends that wait for a slow probe although the process answers others.
  Scenario: an answer that comes while a probe waits ends the wait
    Given a verifier whose probes wait
    When a response ends, and a later request is answered while its probe waits
    Then the process is known to live after 1 of them

  # Guards against later ends that share the outcome of an answer that was older than them.
  Scenario: an answer is no evidence for ends that came after its request
    Given a verifier whose probes wait
    When a response ends, and a later request is answered while its probe waits
    And 1 more ends while their probe is under way, and the process ends after it
    Then the process is known to live after 1 of them

  # Guards against sound responses that count as cut as an upstream resets a connection beyond its limit.
  Scenario Outline: a probe without a result is repeated
    Given a verifier whose first <count> probes find the process unknown, and the next one alive
    When 5 responses end at once
    Then the process is known to live after <alive> of them
    And <probes> probes were sent

    Examples:
      | count | alive | probes |
      | 2     | 5     | 3      |
      | 3     | 0     | 3      |

  # Guards against ends that wait for a probe that has failed, and against one that blocks later ones.
  Scenario: a probe that raises an error has no result, and later ones are sent
    Given a verifier whose first probe raises an error, and the next one finds it alive
    When 5 responses end at once
    Then the process is known to live after 0 of them
    When 5 responses end at once
    Then the process is known to live after 5 of them

  # Guards against a request that gives up and takes the probe of others with it.
  Scenario: a request that gives up does not end the probe of others
    Given a verifier whose probes wait
    When 3 responses end at once, and the first one's request is killed
    And the probe finds the process alive
    Then the process is known to live after 2 of them
    And 1 probe was sent

  # Guards against a wait beyond the deadline of a request.
  Scenario: a response without time for a check is not known to be whole
    Given a verifier whose probes wait
    When a response ends with 0.2 s left for its request
    Then the process is known to live after 0 of them within 0.4 s
    When a response ends with 0.01 s left for its request
    Then the process is known to live after 0 of them within 0.4 s
    And 1 probe was sent

  # Guards against sound responses that count as cut as their instance was frozen for some seconds.
  Scenario: an instance that is frozen before it sends a probe sends it afterwards
    Given a verifier whose probes wait
    When 5 responses end at once, and the instance is frozen for 2 s before it sends a probe
    And the probe finds the process alive
    Then the process is known to live after 5 of them
    And 1 probe was sent

  # Guards against memory that grows with the upstreams that have come and gone.
  Scenario: the evidence takes bounded memory
    Given a verifier whose probes find the process alive
    When 3000 upstreams answer requests, and responses of 100 end
    Then the verifier holds the latest 1024 answers, and no probe

  # Guards against another process, or none, that is taken for the one that sent the response.
  Scenario Outline: an upstream that <replies> is <state>
    Given an upstream that <replies> to probes
    When its process is probed
    Then it is found <state>

    Examples:
      | replies                               | state   |
      | answers                               | alive   |
      | answers with its id                   | alive   |
      | answers that it is full               | alive   |
      | answers that it is unwell             | leaving |
      | answers that its check failed         | leaving |
      | answers through a proxy that can't reach it | leaving |
      | answers that it is draining           | leaving |
      | answers when it ends                  | leaving |
      | signals that it leaves                | leaving |
      | answers with the same start           | alive   |
      | does not answer                       | silent  |
      | does not answer and stops listening   | ended   |
      | answers 421                           | ended   |
      | answers with another id               | ended   |
      | answers with another start            | ended   |
      | refuses connections                   | ended   |
      | resets its connections                | unknown |
      | closes its connections                | unknown |
      | answers with bytes that are no HTTP   | unknown |
      | answers with a part of its body       | unknown |

  # Guards against a connection that was accepted for a process that has ended: by a proxy, or by its listener's queue.
  Scenario Outline: an upstream without a health path that <replies> is <state>
    Given an upstream that <replies> to probes
    When its process is probed without a health path
    Then it is found <state>

    Examples:
      | replies                        | state   |
      | does not answer                | alive   |
      | answers                        | alive   |
      | refuses connections            | ended   |
      | resets its connections at once | unknown |
      | closes its connections at once | unknown |

  # Guards against a restarted engine that is taken for the one before it, as its report names no process.
  Scenario Outline: an engine whose report <report> and whose health check <replies> is <state>
    Given an engine whose entry <entry>, whose report <report> and that <replies> to other probes
    When its process is probed as that of an engine
    Then it is found <state>

    Examples:
      | entry          | report                      | replies                 | state |
      | names no start | answers                     | answers with its id     | alive |
      | names no start | answers                     | answers with another id | ended |
      | names no start | answers                     | answers 421             | ended |
      | names a start  | answers with another start  | answers with its id     | ended |
      | names a start  | answers with the same start | does not answer         | alive |

  # Guards against probes that add to the load of an upstream that asks for a pause.
  Scenario: an upstream in back-off is only connected to
    Given a gateway before two plain upstreams and three engines
    And its first plain upstream is in back-off
    When a response of it ends
    Then its process is known to live, and no request has come

  # Guards against the answer of another process at the same address.
  Scenario Outline: a response <head> of a later request <counts>
    Given a gateway before two plain upstreams and three engines
    When the head of a response <head> arrives
    Then it <counts> that its upstream lives

    Examples:
      | head                         | counts        |
      | with the request's id        | shows         |
      | with the id of another       | does not show |
      | without an id                | does not show |
      | with the id and status 421   | does not show |
