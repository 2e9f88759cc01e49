Feature: Bad input is refused and harms nobody else

  Background:
    Given a fleet that serves

  Scenario Outline: Requests that break the rules
    When <input> is sent to e-r1a
    Then it answers status <status>, not-run because of <reason>
    And e-r1a still serves
    And nothing ran twice, and no answer was wrong

    Examples:
      | input                      | status | reason            |
      | a request line of garbage  | 400    | bad-request       |
      | a header without a colon   | 400    | bad-request       |
      | 100 KB of headers          | 431    | headers-too-large |
      | a body of 2 MB             | 413    | body-too-large    |
      | an unknown service         | 404    | unknown-service   |
      | an unknown operation       | 400    | bad-request       |
      | no deadline                | 400    | deadline-missing  |
      | a deadline of 0            | 503    | deadline-passed   |
      | a deadline of x            | 400    | bad-request       |
      | no key for keyed work      | 400    | key-missing       |
      | an expired key             | 400    | key-expired       |

  Scenario: Slow callers that hold many connections
    Given 200 callers of e-r1a that send half a request
    Then 20 read requests to e-r1a complete within 2 seconds each

  Scenario Outline: Bad messages on the port between processes
    When <process> receives <message> on its link port
    Then the link connection is refused
    And <process> counts it
    And e-r1a still serves

    Examples:
      | process | message                  |
      | e-r1a   | bytes that are not CBOR  |
      | e-r1a   | another protocol version |
      | c-r1a   | bytes that are not CBOR  |
      | c-r1a   | another protocol version |
