Feature: Payments run at most once
  A non-idempotent request runs at most once, wherever its caller sends it.

  Background:
    Given a fleet of 2 data centres with a "licensing" backend server in each
    And the example configuration is in force
    And payments are open

  Scenario: The same payment is sent to two data centres
    When a caller pays in data centre 1
    And the caller sends the same payment again in data centre 2
    Then both answers are the same
    And the payment ran once

  Scenario: The same payment is sent twice at the same time
    When a caller sends one payment to both data centres at the same time
    Then both answers are the same
    And the payment ran once

  Scenario: The same key with another request is refused
    When a caller pays in data centre 1
    And the caller sends the same key with another path in data centre 2
    Then the answer has status 422
    And the payment ran once

  Scenario: Payments go on while the platform is out
    When the platform has an outage
    And a caller pays in data centre 1
    Then the answer has status 200
    And the payment ran once

  Scenario: The owner of the key dies in the middle of a payment
    Given the backend servers take 1000 ms for each request
    When a caller pays in data centre 1 and the node that owns the key is killed
    And the caller sends the same payment again in the other data centre
    Then no answer says that the payment did not run
    And the payment ran once at most
