Feature: An endpoint that is leaving receives no new work after a few seconds

  Scenario: The entry that received the departure is killed at once
    Given a deployment of 3 entries and 1 control replicas
    And 3 endpoints of service "hobart-desk"
    And callers continuously request quotes of service "hobart-desk" through all entries
    When endpoint 1 reports its departure and the entry that received it is killed at once
    Then endpoint 1 receives no new work after 3 seconds
    And the other endpoints continue to receive work
