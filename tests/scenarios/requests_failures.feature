Feature: What fails is replaced, and the rest is not overrun

  Background:
    Given a fleet that serves

  Scenario Outline: One or two failures under load
    Given 6 callers keep sending ask requests
    And 24 callers keep sending read requests
    When <failure>
    Then urgent work goes on
    And few requests are refused
    And only what the dead ran was cut
    And nothing ran twice, and no answer was wrong

    Examples:
      | failure                                     |
      | e-r1a dies                                  |
      | s-r1a dies                                  |
      | the load reports of s-r1a lie               |
      | the load reports of s-r1a, s-r1b are missing |
      | e-r1a, s-r2a die                            |
      | s-r1a dies and the reports of s-r1b lie     |

  Scenario: A region dies and comes back
    Given 6 callers keep sending ask requests
    And 24 callers keep sending read requests
    When e-r1a, e-r1b, s-r1a, s-r1b die
    Then urgent work goes on
    And few requests are refused
    And only what the dead ran was cut
    When the dead come back
    Then region r1 serves again
    And nothing ran twice, and no answer was wrong

  Scenario: Traffic ramps back to the endpoints of a region
    Given 8 callers keep sending read requests to e-r1a
    When s-r1a, s-r1b die
    And 40 more answers have come
    And the dead come back
    Then traffic ramps back to region r1
    And nothing ran twice, and no answer was wrong
