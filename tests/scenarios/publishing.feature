Feature: Publishing configurations
  Every node holds a complete, current and consistent configuration.

  Scenario: An accepted configuration is in force everywhere
    Given a fleet of 2 data centres with a "catalogue" backend server in each
    When operator "ada" publishes the example configuration
    Then the publication is accepted
    And the version is in force on every instance
    And every instance holds the same hash

  Scenario: Two operators race
    Given a fleet of 2 data centres with a "catalogue" backend server in each
    And the example configuration is in force
    When operators "ada" and "ben" change the same version at the same time
    Then exactly one of the publications is accepted
    And the version is in force on every instance

  Scenario: A version that does not validate changes nothing
    Given a fleet of 1 data centres with a "catalogue" backend server in each
    And the example configuration is in force
    When operator "ada" publishes a route to a service that does not exist
    Then the publication is refused with a JSON path
    And the version in force is unchanged

  Scenario: A service without backend servers is never routed to blindly
    Given a fleet of 1 data centres with a "catalogue" backend server in each
    And the example configuration is in force
    When a caller sends "GET /tracks/17" to data centre 1
    Then the answer says not run
    And the answer says when to come back

  Scenario: Nodes serve on while the platform is out
    Given a fleet of 2 data centres with a "catalogue" backend server in each
    And the example configuration is in force
    When the platform has an outage
    And a caller sends "GET /songs" to data centre 2
    Then the answer has status 200
    When the platform is back
    And operator "ada" switches the preset to "peak"
    Then the publication is accepted
    And the version is in force on every instance
