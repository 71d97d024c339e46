Feature: Leaving and stopping
  A planned stop cuts no request, and who leaves gets no new work.

  Scenario: A leaving backend server gets no new work
    Given a fleet of 2 data centres with a "catalogue" backend server in each
    And the example configuration is in force
    When the backend server of data centre 1 leaves
    And 3 seconds pass
    And a caller sends 20 requests for "/songs" to every data centre
    Then every answer has status 200
    And the backend server of data centre 1 ran none of them

  Scenario: A node that stops finishes what it began
    Given a fleet of 2 data centres with a "catalogue" backend server in each
    And the example configuration is in force
    And the backend servers take 800 ms for each request
    When the node of data centre 1 is asked to stop during 5 requests for "/songs"
    Then every answer has status 200
    And the node ends by itself
