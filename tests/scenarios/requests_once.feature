Feature: A request with a key runs at most once

  Background:
    Given a fleet that serves

  Scenario: Sent again after the answer
    Given a keyed request that was sent to e-r1a
    Then the answer is complete because of ok
    And sent again to e-r1a it gets the recorded answer
    And sent again to e-r2a it gets the recorded answer
    And the key has 1 run

  Scenario: Sent again while the first is running
    Given the work takes 50 times as long
    And a keyed request that was sent to e-r1a
    When the request is running
    Then sent again to e-r1a it is unknown because of in-progress
    And sent again to e-r2a it is unknown because of in-progress
    And the answer is complete because of ok
    And the key has 1 run

  Scenario: Sent again after the entry was killed in the middle
    Given the work takes 50 times as long
    And a keyed request that was sent to e-r1a
    When the request is running
    And the process e-r1a is killed
    Then sent again to e-r1b it is unknown because of in-progress
    And sent again to e-r2a it is unknown because of in-progress
    And the key has 1 run

  Scenario: Sent again after a control replica lost its disk
    Given a keyed request that was sent to e-r2a
    Then the answer is complete because of ok
    When a control replica loses its disk
    Then sent again to e-r1b it gets the recorded answer
    And sent again to e-r2a it gets the recorded answer
    And the key has 1 run

  Scenario: Sent during a cut
    Given e-r2a is cut off from control
    And a keyed request that was sent to e-r2a with 2 seconds left
    Then the answer is not-run because of record-unreachable
    And the key has 0 runs
    And sent again to e-r1a it is complete because of ok
    And no promise was broken

  Scenario: An entry that was frozen past its lease
    Given the way from e-r2a to control takes 450 ms
    And a keyed request that was sent to e-r2a
    And e-r2a waits for the grant of the key
    When e-r2a is frozen past its lease
    Then the answer is not-run because of record-unreachable
    And the key has 0 runs
    And sent again to e-r1a it completes once the key is given back
    And the key has 1 run

  Scenario: The key of another body
    Given a keyed request that was sent to e-r1a
    Then the answer is complete because of ok
    And another body with the key is refused at e-r2a
    And the key has 1 run
