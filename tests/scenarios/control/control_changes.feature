Feature: Accepted changes stay in force
  Operators rely on an accepted change: it is in force everywhere within 5 s and never reverts.

  Scenario: The leader dies right after it accepted a change
    Given preset "normal" is in force
    When an operator puts preset "peak" in force
    And the leader is killed
    Then preset "peak" is in force on every entry within 5 s
    And another leader confirms preset "peak"
    When everything is healed
    Then preset "peak" is in force on every instance

  Scenario: All replicas die right after a change was accepted
    Given preset "normal" is in force
    When an operator puts preset "peak" in force
    And all replicas are killed
    And everything is healed
    Then preset "peak" is in force on every instance

  Scenario: A second replica is lost right after a disk was repaired
    Given preset "normal" is in force
    When a replica loses its data folder
    And it starts again and counts towards the quorum
    Then it has a new incarnation
    When an operator puts preset "peak" in force
    And another replica is killed
    Then the leader confirms preset "peak"
    When an operator puts preset "maintenance" in force
    Then preset "maintenance" is in force on every entry within 5 s

  Scenario: The leader is cut off silently
    Given preset "normal" is in force
    And preset "alone" is stored
    When the leader is cut off silently and asked for preset "alone"
    Then it does not confirm a preset
    When an operator puts preset "peak" in force
    Then preset "peak" is in force on every entry within 5 s
    And it does not confirm a preset
    And it does not accept the change
    When everything is healed
    Then preset "peak" is in force on every instance

  Scenario: The leader is frozen and resumes
    Given preset "normal" is in force
    And preset "alone" is stored
    When the leader is frozen
    And an operator puts preset "peak" in force
    Then preset "peak" is in force on every entry within 5 s
    When the frozen leader receives preset "alone" for the old version and resumes
    Then it refuses the change and never confirms preset "normal"
    When everything is healed
    Then preset "peak" is in force on every instance

  Scenario: Two operators race with the same expected version
    Given preset "normal" is in force
    When two operators put different presets in force with the same expected version
    Then one wins and the other gets the conflict with the current version

  Scenario: A change is resent after its answer was lost
    Given preset "normal" is in force
    And preset "peak" is stored
    When an operator loses the answer to a change to preset "peak"
    And the leader is killed
    Then the resent change gets the first result
    When the replicas take a snapshot and all restart
    Then the resent change gets the first result
    And preset "peak" is in force on every instance
