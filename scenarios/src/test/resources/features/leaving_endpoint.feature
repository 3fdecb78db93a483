Feature: An endpoint that is leaving receives no new work after a few seconds

  Scenario: The entry that heard the endpoint leave dies at once
    Given a deployment of 3 entries and 1 control replicas
    And 3 endpoints of service "hobart-desk"
    And callers ask quotes of service "hobart-desk" through all entries all the time
    When endpoint 1 says that it leaves and the entry that heard it is killed at once
    Then endpoint 1 receives no new work from 3 seconds later on
    And the other endpoints go on receiving work
