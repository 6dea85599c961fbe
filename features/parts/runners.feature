Feature: What a runner's answer says of a request
  Only a refusal states that the request did not run; an internal error of the runner may follow a run.

  Scenario Outline: a runner answers <status> to a new generation
    Given a runner that answers <status>
    When a generation is started there
    Then it <ran>

    Examples:
      | status | ran          |
      | 400    | has not run  |
      | 404    | has not run  |
      | 429    | has not run  |
      | 503    | has not run  |
      | 500    | may have run |
      | 502    | may have run |
      | 504    | may have run |
