Feature: What may be sent once more
  The retry rules that both relays use, and the relays themselves against faulty upstreams.

  Scenario Outline: no order of sends begins more runs than a request may have
    Given a request that may begin <most> runs
    Then no drawn order of sends begins more, nor is called not run when it ran, from seed <seed>

    Examples:
      | most | seed |
      | 1    | 11   |
      | 2    | 12   |

  Scenario: each rule on its own
    Then these sends may follow
      | before                                     | next                     | may follow |
      | -                                          | anew at a                | yes        |
      | a unsent                                   | anew at a                | yes        |
      | a turned away                              | anew at b                | yes        |
      | a may have run                             | anew at b                | no         |
      | a may have run                             | at copy x at b           | yes        |
      | a may have run, b may have run at copy x   | at copy x at b           | no         |
      | a may have run, b turned away at copy x    | at copy x at b           | no         |
      | a may have run, b unsent at copy x         | at copy x at b           | yes        |
      | a may have run, b may have run at copy x   | at copy y at c           | yes        |
      | a may have run                             | kept up at b, no event   | no         |
      | a may have run                             | kept up at b after 0.4 s | no         |
      | a may have run                             | kept up at b after 0.5 s | yes        |
      | a may have run                             | kept up at a after 5 s   | no         |
      | a may have run, b may have run at copy x   | kept up at a after 5 s   | no         |
      | a turned away                              | kept up at b after 5 s   | no         |
      | a turned away                              | at copy x at b           | no         |

  Scenario Outline: the relays keep to it, whatever the upstreams of a <sort> do
    Then no drawn faults make a "<sort>" run more often than it may, from seed <seed>

    Examples:
      | sort   | seed |
      | stream | 21   |
      | once   | 22   |
      | safe   | 23   |
