Feature: Entries follow the control state through failures
  An entry serves the last preset it knows, never an older one, and catches up when it can.

  Scenario: Entries that were away for 1,000 changes catch up
    Given preset "normal" is in force
    When one entry is killed and the other one cut off silently
    And 1000 changes are made
    And an operator puts preset "peak" in force
    And everything is healed
    Then preset "peak" is in force on every instance
    And the entry that was killed caught up by one snapshot, the other one by one delta
    When an operator puts preset "maintenance" in force
    Then preset "maintenance" is in force on every entry within 5 s

  Scenario: An entry reaches only a replica that lags
    Given preset "normal" is in force
    When a replica is cut off from the other replicas silently
    And an operator puts preset "peak" in force
    And an entry reaches only that replica
    Then the entry keeps preset "peak" while it is connected to that replica
    When the entry is killed and started again
    Then the entry refuses callers with "not-ready"
    When everything is healed
    Then preset "peak" is in force on every instance

  Scenario: An entry is cut off from control
    Given preset "normal" is in force
    When an entry is cut off silently
    Then the others stop to name it in lookups
    And "oriolelock status" shows it as unseen
    When an operator puts preset "peak" in force
    Then preset "peak" is in force on the other entries within 5 s
    And the entry completes an operation "read" under preset "normal"
    And the entry refuses a keyed operation "pay" with "record-unreachable"
    When everything is healed
    Then preset "peak" is in force on every instance
    And the others name it in lookups again

  Scenario: Open connections go silent for good
    Given preset "normal" is in force
    When all open connections between instances go silent
    And an operator puts preset "peak" in force
    Then preset "peak" is in force on every entry within 5 s
    And every connection between replicas was replaced
