Feature: Every service stays within its availability budget

  Scenario: A third of the endpoints die without a word
    Given a deployment of 3 entries and 1 control replicas
    And 6 endpoints of service "hobart-desk"
    When 1500 quotes are asked through all entries and 2 endpoints die after the first 300
    Then at most 0.1 percent of the quotes went unanswered

  Scenario: One endpoint fails everything it is given
    Given a deployment of 3 entries and 1 control replicas
    And 6 endpoints of service "hobart-desk"
    When endpoint 1 refuses everything without running it
    And 1000 quotes are asked through all entries
    Then at most 0.1 percent of the quotes went unanswered
