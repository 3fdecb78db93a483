Feature: A request that is refused as not run was not run

  Background:
    Given a deployment of 3 entries and 3 control replicas
    And 1 endpoints of service "hobart-foundry"

  Scenario: A service without endpoints
    When a quote of service "launceston-desk" is requested through entry 1
    Then the answer has status 503 and verdict NOT_RUN
    And the answer has a Retry-After header

  Scenario: More orders than the service can hold
    When 120 orders that take 300 milliseconds are sent at once with a deadline of 1500 milliseconds
    Then some orders were refused as NOT_RUN
    And no order refused as NOT_RUN was run
    And each answered order ran exactly once

  Scenario: No quorum of control replicas
    When 2 control replicas are killed
    And an order is sent through entry 1
    Then the answer has status 503 and verdict NOT_RUN
    And no order refused as NOT_RUN was run
    When a quote of service "hobart-foundry" is requested through entry 1
    Then the answer has status 200 and verdict RAN
