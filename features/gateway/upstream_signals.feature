Feature: An upstream that signals that it leaves, or that it wants no requests, gets none
  Guards against signals in response headers that are not decoded, or used only for the request that
  the response answers. A request reached an upstream 2.4 s after the same instance had forwarded a
  response in which the upstream signalled that it leaves, while the store was silent. A portal that
  had rejected a request with 3 s of back-off received three more from the same instance in that time.

  Background:
    Given the store's stand-in with a routing configuration, 3 portals and 3 engines
    And 4 gateway processes that know each other

  # Guards against requests to an upstream that signals that it leaves while its entry states ready.
  Scenario: a portal and an engine that signal that they leave get nothing new
    When 16 callers ask for calls and streams for 8 s, and from 2 s on 1 portal and 1 engine signal that they leave
    Then from 2 s after an instance's first such response nothing reaches that upstream from it
    And from 0.5 s after the first such response nothing reaches that upstream at all
    And at least 99 in 100 calls and streams are whole

  # Guards against requests to leaving upstreams where few other upstreams remain.
  Scenario: all portals but one signal that they leave
    When 16 callers ask for calls and streams for 8 s, and from 2 s on 2 portals and 0 engines signal that they leave
    Then from 2 s after an instance's first such response nothing reaches that upstream from it
    And at least 99 in 100 calls and streams are whole

  # Guards against signals that are missed during an outage of the store.
  Scenario: a portal and an engine signal that they leave while the store is silent
    Given the store falls silent
    When 16 callers ask for calls and streams for 8 s, and from 2 s on 1 portal and 1 engine signal that they leave
    Then from 2 s after an instance's first such response nothing reaches that upstream from it
    And from 0.5 s after the first such response nothing reaches that upstream at all
    And at least 99 in 100 calls and streams are whole

  # Guards against an instance that has restarted and knows only the store's entry.
  Scenario: an instance that is killed and starts anew hears from its peers who leaves
    When 16 callers ask for calls and streams for 14 s, and from 2 s on 1 portal and 1 engine signal that they leave
    And meanwhile an instance is killed and starts anew every 4 s
    Then at most 4 requests reach a leaving upstream from 2.5 s after its first such response on

  # Guards against callers that wait in vain where all upstreams of a service leave.
  Scenario: where all portals signal that they leave, they serve for the time to drain and no longer
    When 16 callers ask for calls and streams for 8 s, and from 2 s on 3 portals and 0 engines signal that they leave
    Then from 2 s after an instance's first such response nothing reaches that upstream from it
    And calls are answered whole within 1.3 s of the first such response
    And from 3 s after it calls are refused within 0.1 s, and nothing ran

  # Guards against requests within the back-off that an upstream has requested.
  Scenario: a portal and an engine that reject with a back-off get nothing until it is over
    When 16 callers ask for calls and streams for 10 s, and from 2 s on 1 portal and 1 engine reject all with a back-off of 3 s
    Then no upstream gets a request from an instance between 0.5 s after it has rejected one and the end of its back-off
    And at least 99 in 100 calls and streams are whole

  # Guards against a successful response, or a later rejection, that shortens a back-off.
  Scenario: a portal and an engine reject half of their requests with a back-off
    When 16 callers ask for calls and streams for 10 s, and from 2 s on 1 portal and 1 engine reject half with a back-off of 3 s
    Then no upstream gets a request from an instance between 0.5 s after it has rejected one and the end of its back-off
    And at least 99 in 100 calls and streams are whole

  # Guards against refusals without the time at which the first upstream accepts requests again.
  Scenario: where all portals reject with a back-off, callers are refused at once until it is over
    When 16 callers ask for calls and streams for 10 s, and from 2 s on 3 portals and 0 engines reject all with a back-off of 3 s
    Then no upstream gets a request from an instance between 0.5 s after it has rejected one and the end of its back-off
    And who is refused is told within 0.1 s to come back when the first back-off is over, and that nothing ran

  # Guards against refusals while one of the upstreams would accept the request.
  Scenario: where all portals reject half with a back-off, nobody is refused while one takes requests
    When 16 callers ask for calls and streams for 10 s, and from 2 s on 3 portals and 0 engines reject half with a back-off of 3 s
    Then no upstream gets a request from an instance between 0.5 s after it has rejected one and the end of its back-off
    And no call is refused by an instance to which a portal has not just requested a back-off

  # Guards against instances that learn of a signal only by sending a caller's request to the upstream.
  Scenario: one instance hears the signal, and all others know of it
    When a portal signals to one instance that it leaves
    Then 0.5 s later 20 calls at each of the other instances reach it no more
    When an instance is killed and has started anew
    Then 1 s later 20 calls there reach it no more
