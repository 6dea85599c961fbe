Feature: Upstreams that fall over if they have to reject many requests
  They signal it with their responses. Instances then send no more than fits, all together.

  # Guards against brittle upstreams falling over under calls that they have to reject for want of room.
  Scenario: a burst of calls at many instances makes brittle upstreams reject hardly any
    Given the store's stand-in with a routing configuration and 1 engines that some requests crash
    And 2 brittle plain upstreams that run 6 calls at once and hold 1 waiting
    And 6 gateway processes that know each other
    When 40 callers make calls for 6 s at all instances
    Then 3 s after the first signal no upstream rejects more than 3 calls in any second
    And at least 100 calls are served

  Scenario Outline: instances together send no more than the slots of a brittle upstream
    Given <count> instances that know of a brittle upstream with <slots> slots and no room to spare
    Then together they may have at most <slots> requests there

    Examples:
      | count | slots |
      | 2     | 6     |
      | 3     | 6     |
      | 8     | 6     |
      | 5     | 64    |

  Scenario: instances that reject nothing are not held back
    Given 3 instances that know of a brittle upstream with 6 slots and no request there
    Then each of them may send

  Scenario: an upstream is brittle no longer once it has not said so for a while
    Given 3 instances that know of a brittle upstream with 6 slots and no room to spare
    When 11 s pass
    Then each of them may send
