Feature: Racing operators

  Scenario: Four operators race while the log loses answers and stops twice
    Given a fleet of 2 data centres with a "catalogue" backend server in each
    And the example configuration is in force
    And the log loses one append answer in ten
    When 4 operators make 25 publications each while the platform stops twice
    Then each operator got the true outcome of each publication
    And every instance holds the newest version and its hash
    And no instance ever went back
