Feature: A non-idempotent request runs at most once
  An order carries an idempotency key. Its claim is committed by a quorum of control replicas before
  the first byte of the order is sent to an endpoint, even if processes fail in between.

  Background:
    Given a deployment of 3 entries and 3 control replicas
    And 4 endpoints of service "hobart-foundry"

  Scenario: Without claims, an order resent after a lost answer runs twice
    When an order that takes 300 milliseconds is sent directly to endpoint 1 and times out
    And the same order is sent directly to endpoint 2
    Then the order ran 2 times

  Scenario: The entry that serves an order is killed
    When an order that takes 1500 milliseconds is sent through entry 1
    And entry 1 is killed once an endpoint runs the order
    And the same order is sent through entry 2
    Then the order ran 1 times
    And the last answer was the result of the order or had verdict MAY_HAVE_RUN

  Scenario: The same order is sent through all entries concurrently
    When 20 orders are each sent through all entries at once
    Then each order ran exactly once
    And all answers to one order were complete and the same

  Scenario: The leader of the control replicas is frozen while orders arrive and resumed later
    When the leader of the control replicas is frozen
    And 20 orders are each sent through one entry and, without an answer, through the next
    And the frozen control replica is resumed
    And 20 orders are each sent through one entry and, without an answer, through the next
    Then no order ran twice
    And each answered order ran exactly once

  Scenario: The leader of the control replicas is killed while orders arrive
    When 40 orders are each sent through one entry while the leader of the control replicas is killed
    Then no order ran twice
    And each answered order ran exactly once
    And no order refused as NOT_RUN was run
