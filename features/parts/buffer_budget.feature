Feature: Memory for buffers

  # Guards against small requests that are displaced by a few large unfinished ones.
  Scenario: the largest unfinished holder is evicted for a smaller one
    Given a buffer budget of 100 bytes, and holders of 40, 50 and 10
    When another holder takes 20 bytes
    Then holder 2 alone is evicted and 70 bytes are used

  # Guards against an evicted request that was promised to be served.
  Scenario: a protected holder is not evicted
    Given a buffer budget of 100 bytes, and holders of 40, 50 and 10
    And holder 2 is protected
    When another holder takes 20 bytes
    Then holder 1 alone is evicted and 80 bytes are used

  # Guards against a large request that displaces smaller ones.
  Scenario: the holder that would be the largest is refused itself
    Given a buffer budget of 100 bytes, and holders of 40, 50 and 10
    When another holder takes 60 bytes in vain
    Then no holder is evicted and 100 bytes are used

  # Guards against memory that is counted for requests that have ended.
  Scenario: closed holders give back all bytes once
    Given a buffer budget of 100 bytes, and holders of 40, 50 and 10
    When all holders are closed twice
    Then no holder is evicted and 0 bytes are used
