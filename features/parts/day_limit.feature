Feature: How much of a day's worth no system could have saved

  Scenario: a stream that is open at the end even at the fastest decoding is lost in the limit
    Given a day that ends at 30 s, with engines that make a token in 10 ms
    And a long stream of 1,000 tokens placed at 21 s that broke off
    And a long stream of 500 tokens placed at 21 s that broke off
    And a long stream of 500 tokens placed at 31 s that broke off
    And 7 long streams that ended whole, and 90 calls of which 2 could not be served
    Then 3 long streams were lost, and 1 of them could not be saved
    And the limit counts 3 failures of 100

  Scenario: a quiet day is lost to nothing but what follows its requests
    Given a day on which instances live on, with engines that make a token in 10 ms
    And 10 long streams that ended whole, and 90 calls of which 2 could not be served
    Then 0 long streams were lost, and 0 of them could not be saved
    And the limit and what was reached differ by prices alone

  Scenario: a day is read from its log and its report
    Given the log and the report of a short day
    Then it has 2 long streams, one of them open at the end
    And the open one has made at least what the other made in that time
