Feature: A planned stop cuts off no request in flight

  Scenario: All entries are restarted in turns under load
    Given a deployment of 3 entries and 3 control replicas
    And 4 endpoints of service "hobart-desk"
    And callers ask quotes of 200 milliseconds of service "hobart-desk" through a balancer all the time
    When every entry is stopped in order and started again, one after the other
    Then no request was cut off
    And every entry that stopped ended with exit code 0
