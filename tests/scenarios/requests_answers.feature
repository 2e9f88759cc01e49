Feature: Callers get their own whole answer, or a clear unknown

  Background:
    Given a fleet that serves

  Scenario Outline: Damaged answers to keyed work
    Given the stand-ins answer <kind>
    When 8 pay requests with 1500 ms left are sent to each entry
    Then their outcome is unknown because of <reason>
    And nothing ran twice, and no answer was wrong
    When the stand-ins are well again
    Then 8 read requests to each entry get their own answers
    And nothing ran twice, and no answer was wrong

    Examples:
      | kind      | reason     |
      | crossed   | bad-answer |
      | truncated | bad-answer |
      | late      | timeout    |

  Scenario Outline: Damaged answers to idempotent work are fetched again
    Given the first of 20 answers of each stand-in is <kind>
    Then 8 read requests to each entry get their own answers
    And nothing ran twice, and no answer was wrong

    Examples:
      | kind      |
      | crossed   |
      | truncated |

  Scenario: Kept connections go silent while new ones work
    Given e-r2a keeps connections to its endpoints through a link
    When the kept connections of the link go silent
    Then 4 read requests to e-r2a get their own answers within their deadline
    And 4 pay requests to e-r2a get their own answers within their deadline
    And e-r2a has ejected no endpoint
    And nothing ran twice, and no answer was wrong

  Scenario: A request that crashes endpoints
    Given a request that crashes endpoints
    When it is sent to e-r1a, e-r1b, e-r2a again and again until it is quarantined
    Then it killed at most 2 endpoints
    And every entry refuses it as quarantined
    And 4 read requests to each entry get their own answers
    And nothing ran twice, and no answer was wrong

  Scenario: A popular request in flight when the endpoints of a region die
    Given a popular request that has been answered
    And the work takes 25 times as long
    And it is in flight on both endpoints of r1
    When the endpoints of r1 die
    Then it is not quarantined once they are back
    And nothing ran twice, and no answer was wrong

  Scenario: Not run means not run under shedding
    Given the work takes 25 times as long
    And 40 callers keep sending read requests
    When 20 refusals have come
    Then nothing ran twice, and no answer was wrong

  Scenario: Not run means not run when endpoints shed, drain, die and refuse
    Given 12 callers keep sending read requests
    And 6 callers keep sending pay requests
    When the stand-ins shed 40 requests
    And 40 more answers have come
    And the stand-in s-r1a drains
    And 40 more answers have come
    And the process s-r1b is killed
    And 40 more answers have come
    And the process s-r2a is killed
    And 40 more answers have come
    Then nothing ran twice, and no answer was wrong
