Feature: Traffic shifts in capped steps

  Background:
    Given a fleet that serves
    And 8 callers that use the entries of r1

  Scenario: A new preset
    When the preset away with a cap of 0.1 comes into force
    Then r2 gets at most one cap more of the traffic per second
    And r2 gets 70 percent of the traffic in the end
    And no promise was broken

  Scenario: A second change in the middle
    When the preset away with a cap of 0.15 comes into force
    And r2 gets half of the traffic
    And the preset home with a cap of 0.15 comes into force
    Then the share of r2 starts from where it was and falls by at most one cap per second
    And no promise was broken

  Scenario: Cut off from control in the middle
    When the preset away with a cap of 0.05 comes into force
    And r2 gets a tenth of the traffic
    And the entries of r1 are cut off from control
    Then the shift stops short of its end
    And no promise was broken
