Feature: Planned stops and damaged data folders
  A planned stop costs no election. What a crash leaves behind is repaired or refused.

  Scenario: The leader is stopped as planned
    Given preset "normal" is in force
    When the leader is stopped as planned
    Then it handed its leadership over before it ended
    When an operator puts preset "peak" in force
    Then preset "peak" is in force on every entry within 5 s

  Scenario: A crash leaves a record that is written in part
    Given preset "normal" is in force
    When a replica is killed
    And its log ends with a part of a record
    And everything is healed
    Then the part is cut off
    When an operator puts preset "peak" in force
    Then preset "peak" is in force on every instance

  Scenario: A log is damaged in the middle
    Given preset "normal" is in force
    When a replica is killed
    And a byte in the middle of its log changes
    Then it refuses to start and tells how to rejoin
    When its data folder is moved away
    And it starts again
    Then it counts towards the quorum and confirms preset "normal"
