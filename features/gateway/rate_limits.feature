Feature: An upstream that names how many requests it takes gets no more, and gets those
  Guards against limits in responses that are ignored, or that are neither kept nor shared with other
  instances. Two of three portals signalled how many requests a second they accept from all instances
  together (2.1 and 3.1). Three seconds later they still received five to ten times as many as in the
  seconds before: 21 within 4 s where 18 are allowed, 24 where 24 are.

  Each of eight instances chose the portal with the lowest load, which is the one that receives few
  requests, so the rate at one portal even rose after it had signalled its limit.

  Background:
    Given the store's stand-in with a routing configuration, 3 portals and 3 engines
    And 4 gateway processes that know each other

  Scenario: a portal that names a limit gets no more, and its peers serve the rest
    When 12 callers ask for "/once/a" for 12 s, and from 2 s on 1 portal takes 2.1 requests a second
    Then from 3 s after it no upstream gets more in any 4 s than one and a half times its limit and 5
    And limited upstreams get at least 0.7 of what they take
    And at least 99 in 100 answers are whole

  Scenario: an engine that names a limit gets no more streams
    When 12 callers ask for "/stream/a" for 12 s, and from 2 s on 1 engine takes 2.1 requests a second
    Then from 3 s after it no upstream gets more in any 4 s than one and a half times its limit and 5
    And limited upstreams get at least 0.7 of what they take
    And at least 99 in 100 answers are whole

  Scenario: where all portals name a limit, who can't be served is told at once when to come back
    When 12 callers ask for "/safe/a" for 12 s, and from 2 s on 3 portals take 2.1 requests a second
    Then from 3 s after it no upstream gets more in any 4 s than one and a half times its limit and 5
    And limited upstreams get at least 0.7 of what they take
    And who is refused is told within 0.9 s when to come back, and that nothing ran

  Scenario: an instance that is killed and starts anew meanwhile keeps to the limit
    When 12 callers ask for "/once/a" for 14 s, and from 2 s on 1 portal takes 3.1 requests a second
    And meanwhile an instance is killed and starts anew every 4 s
    Then from 3 s after it no upstream gets more in any 4 s than one and a half times its limit and 5
    And limited upstreams get at least 0.5 of what they take

  Scenario: a limit that falls is kept to, and one that is lifted is forgotten by all
    When 12 callers ask for "/once/a" for 14 s, and from 2 s on 1 portal takes 6 requests a second
    And after 3 s more it takes 1.5, and after another 5 s it names no limit
    Then from 3 s after it no upstream gets more in any 4 s than one and a half times its limit and 5
    And within 2 s of the end of its limit it gets as many requests as a peer
