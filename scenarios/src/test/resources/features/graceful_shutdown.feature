Feature: A planned stop interrupts no request in flight

  Scenario: All entries are restarted one after the other under load
    Given a deployment of 3 entries and 3 control replicas
    And 4 endpoints of service "hobart-desk"
    And callers continuously request 200 millisecond quotes of service "hobart-desk" through a balancer
    When every entry is stopped gracefully and started again, one after the other
    Then every request got its complete answer
    And every stopped entry exited with code 0
