Feature: Payments run at most once when their route changes

  Scenario: A route moves to another service between two sends of a payment
    Given a fleet with a "licensing" and a "catalogue" backend server
    And the example configuration is in force
    And payments are open
    When a caller pays in data centre 1
    And operator "ada" moves the route "licence-purchase" to "catalogue"
    And 6 seconds pass
    And the caller sends the same payment again in data centre 2
    Then both answers are the same
    And the payment ran once
