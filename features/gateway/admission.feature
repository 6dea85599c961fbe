Feature: What the gateway admits

  Background:
    Given a gateway before two plain upstreams and three engines

  Scenario Outline: requests that the configuration does not allow
    When a request for "<path>" with key "<key>" is asked as "r1"
    Then the answer is <status> and tells that nothing ran
    And "r1" has run on 0 upstreams

    Examples:
      | path     | key   | status |
      | /nowhere | right | 404    |
      | /safe/a  | wrong | 401    |
      | /safe/a  | none  | 401    |

  # Guards against requests that run on a route for anonymous requests with a key that was revoked.
  Scenario: an open route refuses a key that is not known
    When a request for "/open/a" with key "wrong" is asked as "r1"
    Then the answer is 401 and tells that nothing ran
    And "r1" has run on 0 upstreams

  # Guards against requests that run without their workspace, as their credentials cannot be read as a key.
  Scenario Outline: an open route takes only requests without credentials as anonymous
    When a request for "/open/a" with the credentials "<credentials>" is asked as "r1"
    Then the answer has the status <status>
    And "r1" has run on <runs> upstreams

    Examples:
      | credentials          | status | runs |
      | Token key-of-north   | 401    | 0    |
      | Basic bm9ydGg6a2V5   | 401    | 0    |
      | key-of-north         | 401    | 0    |
      | Bearer\tkey-of-north | 401    | 0    |
      | Bearer               | 200    | 1    |
      | bearer key-of-north  | 200    | 1    |

  # Guards against a key that is still taken for the workspace that held it before.
  Scenario: a key that was moved to another workspace counts for that one at once
    Given the key of "north" is now one of "plains"
    When a request for "/open/a" with key "right" is asked as "r1"
    Then the upstream of "r1" was told workspace "plains" and its own id, and no key

  # Guards against a known key that is ignored on a route for anonymous requests.
  Scenario: an open route knows the workspace of a key
    When a request for "/open/a" with key "right" is asked as "r1"
    Then the answer is 200 "whole" with the upstream's seal
    And the upstream of "r1" was told workspace "north" and its own id, and no key

  # Guards against requests without a check of their keys once the last workspace was removed.
  Scenario Outline: a configuration whose list of workspaces is empty knows no key
    Given the list of workspaces is now <workspaces>
    When a request for "<path>" with key "<key>" is asked as "r1"
    Then the answer has the status <status>
    And "r1" has run on <runs> upstreams

    Examples:
      | workspaces | path    | key   | status | runs |
      | empty      | /safe/a | right | 401    | 0    |
      | empty      | /safe/a | none  | 401    | 0    |
      | empty      | /open/a | right | 401    | 0    |
      | empty      | /open/a | none  | 200    | 1    |
      | missing    | /safe/a | right | 200    | 1    |
      | missing    | /safe/a | none  | 200    | 1    |
      | null       | /safe/a | none  | 200    | 1    |

  # Guards against instances that ask for other keys than the peer that sent them the configuration.
  Scenario Outline: a peer's configuration asks for the same keys
    When a peer sends a configuration whose list of workspaces is <workspaces>
    And a request for "/safe/a" with key "right" is asked as "r1"
    Then the answer has the status <status>

    Examples:
      | workspaces | status |
      | empty      | 401    |
      | missing    | 200    |

  # Guards against a site without workspaces whose empty list of them refuses all requests.
  Scenario Outline: an empty list of workspaces, at a site whose contracts are <contracts>
    Given settings whose contracts are <contracts>
    When a peer sends a configuration whose list of workspaces is empty
    And a request for "/safe/a" with key "none" is asked as "r1"
    Then the answer has the status <status>

    Examples:
      | contracts     | status |
      | not named     | 401    |
      | base, tenants | 401    |
      | base, config  | 200    |

  Scenario: an open route needs no key
    When a request for "/open/a" with key "none" is asked as "r1"
    Then the answer is 200 "whole" with the upstream's seal

  Scenario Outline: an instance that may have an old configuration refuses nobody for good
    Given the configuration may be old
    When a request for "<path>" with key "<key>" is asked as "r1"
    Then the answer is 503 and tells when to come back

    Examples:
      | path     | key   |
      | /nowhere | right |
      | /safe/a  | wrong |

  Scenario: an instance without a configuration refuses nobody for good
    Given no configuration has been read
    When "/safe/a" is asked as "r1"
    Then the answer is 503 and tells when to come back

  Scenario: a request that comes before the first configuration waits a little
    Given a first configuration that comes while the request waits
    When "/safe/a" is asked as "r1"
    Then the answer is 200 "whole" with the upstream's seal

  Scenario: the longest prefix of the path decides
    Then "/safe/quick/x" leads to route "quick" and "/safe/x" to "safe"

  Scenario: a split follows its weights
    Then of 1000 requests on a route split 90 to 10 about 900 go to the first service

  Scenario Outline: malformed input gets a clear answer and loses nothing for others
    When a caller sends <input>
    Then it is answered <status> and closed
    And another caller is served meanwhile

    Examples:
      | input                            | status |
      | two lengths                      | 400    |
      | a length beside chunks           | 400    |
      | a folded header                  | 400    |
      | bare line ends                   | 400    |
      | a bad chunk size                 | 400    |
      | an unknown transfer coding       | 400    |
      | a name with a blank before colon | 400    |
      | no host                          | 400    |
      | two hosts                        | 400    |
      | two request ids                  | 400    |
      | a header of 10000 bytes          | 431    |
      | a length of 70000 bytes          | 413    |
      | a chunked body of 70000 bytes    | 413    |
      | half a header and then nothing   | 408    |

  Scenario: a second request hidden behind the first is a request of its own
    When two requests come in one packet
    Then both are answered in order on the same connection

  Scenario: a stopping instance finishes calls and hands streams on
    Given another instance that is ready
    And an open stream and a stop that was asked for
    Then a new long stream is told to come back elsewhere
    And a new short stream is still served
    And a new call is still served
    And the open stream ends whole
