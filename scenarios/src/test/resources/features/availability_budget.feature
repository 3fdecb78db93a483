Feature: Every service stays within its availability budget

  Scenario: A third of the endpoints are killed
    Given a deployment of 3 entries and 1 control replicas
    And 6 endpoints of service "hobart-desk"
    When 1500 quotes are requested through all entries and 2 endpoints are killed after 300
    Then at most 0.1 percent of the quotes went unanswered

  Scenario: One endpoint refuses all requests
    Given a deployment of 3 entries and 1 control replicas
    And 6 endpoints of service "hobart-desk"
    When endpoint 1 refuses all requests without running them
    And 1000 quotes are requested through all entries
    Then at most 0.1 percent of the quotes went unanswered
