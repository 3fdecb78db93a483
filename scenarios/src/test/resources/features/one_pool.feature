Feature: Each host belongs to exactly one pool at any time

  Scenario: Operators move a host at the same version before a change of leader
    Given a deployment of 1 entries and 3 control replicas
    And a host "tamar-17" in pool "hobart-desk"
    When two operators move host "tamar-17" to "hobart-foundry" and to "launceston-desk" at once
    Then one of them is accepted and the other gets a conflict
    When the leader of the control replicas is killed
    Then host "tamar-17" is listed in exactly one pool
