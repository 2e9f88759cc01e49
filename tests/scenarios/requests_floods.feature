Feature: A flood of one kind leaves the others their share

  Background:
    Given a fleet that serves

  Scenario: A flood of deferrable work
    Given 4 callers keep sending ask requests
    And 90 callers flood with tidy requests
    When the flood has lasted for 300 runs
    Then no ask request was refused, and 9 of 10 took less than 500 ms
    And nothing ran twice, and no answer was wrong

  Scenario: A flood of urgent work
    Given 30 callers flood with read requests
    And 90 callers flood with ask requests
    When the flood has lasted for 300 runs
    Then read requests had at least 35 percent of the runs
    And nothing ran twice, and no answer was wrong
