Feature: Entries join, leave and relay; the instance list fails
  Entries of a failure domain form a tree below two heads, and follow the instance list.

  Scenario: An entry joins and leaves
    Given preset "normal" is in force
    When an entry starts and the instance list shows it
    Then all entries name it in lookups
    And preset "normal" is in force on every entry within 5 s
    When it stops as planned and leaves the instance list
    Then no entry names it in lookups, and "status" does not list it

  Scenario: A parent dies
    Given preset "normal" is in force
    And entries follow a parent entry
    When an operator puts preset "peak" in force
    Then preset "peak" is in force on every entry within 5 s
    When the parent is killed
    Then its children move to another parent within 10 s
    When an operator puts preset "maintenance" in force
    Then preset "maintenance" is in force on the other entries within 5 s

  Scenario: The instance list stops
    Given preset "normal" is in force
    When the instance list stops for 2 s
    Then no instance was removed

  Scenario: The instance list lags behind an entry that joined
    Given preset "normal" is in force
    When an entry starts and the instance list shows it
    Then all entries name it in lookups
    When the instance list shows for 2 s what it showed before that
    Then no instance was removed
