Feature: How requests to the own interface end
  The own interface's server in the test process, before an application that records the bodies that it takes for whole.

  # Guards against a request that its caller has cut, and that is run with a part of its head or body.
  Scenario Outline: a request with <body> that is cut and then <ending> is not served
    Given the own interface's server before an application that records requests
    When an own request with <body> is cut at each byte, and its connection is <ending>
    Then the application has taken no request for whole

    Examples:
      | body                                    | ending      |
      | a length                                | half-closed |
      | a length                                | closed      |
      | chunks                                  | half-closed |
      | chunks                                  | closed      |
      | chunks and a trailer                    | half-closed |
      | no body                                 | half-closed |
      | a length and an offer of an upgrade     | half-closed |
      | chunks and an offer of an upgrade       | half-closed |
      | a length and an offer of a web socket   | half-closed |
      | chunks and an offer of a web socket     | half-closed |

  # Guards against sound requests that are rejected with the cut ones, or change their body.
  Scenario Outline: a request with <body> is served with its whole body
    Given the own interface's server before an application that records requests
    When an own request with <body> is sent
    Then the application has taken it for whole, and nothing else

    Examples:
      | body                                    |
      | a length                                |
      | chunks                                  |
      | chunks and a trailer                    |
      | no body                                 |
      | a length and an offer of an upgrade     |
      | chunks and an offer of an upgrade       |
      | a length and an offer of a web socket   |
      | chunks and an offer of a web socket     |

  # Guards against a body that is taken for the next request, as its framing is not known.
  Scenario Outline: a request with <body> is rejected, and its body is no request
    Given the own interface's server before an application that records requests
    When an own request with <body> is sent
    Then it is answered with 400 once
    And the application has taken no request for whole

    Examples:
      | body                          |
      | a coding that is not known    |
      | two codings                   |
      | a coding in two headers       |
      | chunks and a length           |
      | two lengths                   |
      | a length after a broken line  |
