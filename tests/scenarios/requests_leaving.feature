Feature: What leaves gets no new work, and what runs ends

  Background:
    Given a fleet that serves

  Scenario Outline: An endpoint leaves under load
    Given 6 callers keep sending read requests
    And 3 callers keep sending pay requests
    When s-r1a leaves by <way>
    Then no run begins at s-r1a later than 5 seconds after
    And the callers have had only complete answers
    And no promise was broken

    Examples:
      | way                |
      | a drain            |
      | the instance list  |
      | its own state      |
      | a planned stop     |

  Scenario: A drain that leaves too few slots is refused
    Then a drain of region r1 and one of region r2 are not both accepted
    And the refusal names the slots

  Scenario: An entry stops as planned under load
    Given the work takes 10 times as long
    And 6 callers keep sending read requests
    And 3 callers keep sending pay requests
    When e-r1a is asked to stop
    Then look-ups stop naming e-r1a before it ends
    And e-r1a ends with exit code 0
    And the callers have had only complete answers
    And no promise was broken
