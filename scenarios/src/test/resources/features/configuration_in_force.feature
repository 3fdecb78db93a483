Feature: An accepted configuration is in force everywhere within seconds and never reverts

  Background:
    Given a deployment of 3 entries and 3 control replicas
    And 2 endpoints of service "hobart-desk"

  Scenario: A change reaches every entry
    When an operator adds a service "night-reports" to the configuration
    Then every entry has configuration version 2 in force within 12 seconds

  Scenario: Two operators apply changes to the same version concurrently
    When two operators apply different configurations to version 1 at once
    Then one of them is accepted and the other gets a conflict

  Scenario: A resent command gets its first reply after a change of leader
    When an operator applies a configuration as command "resent-1"
    And the leader of the control replicas is killed
    And the operator resends command "resent-1"
    Then both replies are the same

  Scenario: Entries that cannot confirm their configuration refuse work
    When all control replicas are frozen
    Then every entry refuses quotes of service "hobart-desk" as NOT_RUN within 12 seconds
    When all control replicas are resumed
    Then every entry serves quotes of service "hobart-desk" again

  Scenario: A restarted entry does not revert to an old configuration
    When an operator adds a service "night-reports" to the configuration
    And entry 1 is killed and started again
    Then entry 1 has configuration version 2 in force within 12 seconds
    And entry 1 never reported an earlier version after its start
