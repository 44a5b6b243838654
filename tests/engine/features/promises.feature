Feature: What must always hold

  Scenario: An answer is whole, from one snapshot, and counted
    Given a fleet of three daemons
    When a caller searches at vm-0
    Then the answer covers every shard of snapshot gen-2
    And the request stands in the ledgers of all three daemons once

  Scenario: A repeated id is counted once, at whatever daemon
    Given a fleet of three daemons
    When a caller sends the same search to every daemon
    Then every answer has a receipt
    And the request stands in the ledgers of all three daemons once

  Scenario: A zone that was taken out receives no new work
    Given a fleet of three daemons
    When the operators take zone zb out
    And a caller searches at vm-0
    Then no searcher of zone zb was called
    And the answer covers every shard of snapshot gen-2

  Scenario: An entry in a zone that was taken out refuses and names others
    Given a fleet of three daemons
    When the operators take zone za out
    And a caller searches at vm-0
    Then the request is refused as zone_out and did not run
    And the remedy names the other entries

  Scenario: A shard that nobody can answer is stated as missing
    Given a fleet of three daemons
    And both replicas of shard s0 fail
    When a caller with little time searches at vm-0
    Then the answer states that s0 and s3 are missing

  Scenario: A count that no other zone can store gives no answer
    Given a fleet of three daemons
    And vm-0 is cut off from its peers
    When a caller searches at vm-0
    Then the request is refused as not_counted

  Scenario: A paused daemon sends no new work before it has confirmed its view
    Given a fleet of three daemons
    And vm-0 was paused
    When a caller without patience searches at vm-0
    Then the request is refused as not_ready and did not run
    And no searcher was called

  Scenario: A non-idempotent request runs once, however often it is sent
    Given a fleet of three daemons
    And a session of vm-1
    When a caller sends the same run to every daemon
    Then every answer has a receipt
    And exactly one searcher was called
    And the request stands in the ledgers of all three daemons once

  Scenario: A run whose arbiter is gone is unknown and never runs again
    Given a fleet of three daemons
    And a session of vm-1
    And vm-1 has crashed
    When a caller sends a run to vm-0
    Then the request is refused as arbiter_gone and may have run
    And no searcher was called

  Scenario: A new incarnation does not arbitrate for the one before
    Given a fleet of three daemons
    And a session of vm-1
    And vm-1 was replaced
    When a caller sends a run to vm-0
    Then the request is refused as arbiter_gone and may have run
    And no searcher was called

  Scenario: A run that a searcher sheds is sent to another one
    Given a fleet of three daemons
    And a session of vm-0
    And searcher notices-0 sheds
    When a caller sends a run to vm-0
    Then every answer has a receipt

  Scenario: A run that may have reached its searcher is not sent again
    Given a fleet of three daemons
    And a session of vm-0
    And every searcher of notices fails
    When a caller sends a run to vm-0
    Then the request is refused as arbiter_gone and may have run
    And exactly one searcher was called

  Scenario: A refused run never runs later
    Given a fleet of three daemons
    And a session of vm-0
    And the operators take zone za out
    When a caller sends a run to vm-0
    Then the request is refused as zone_out and did not run
    When the operators bring every zone back
    And a caller sends a run to vm-0
    Then the request is refused as zone_out and did not run
    And no searcher was called

  Scenario: A customer within its quantity is served, beyond it is not
    Given a fleet of three daemons with 5 requests a month
    When a caller searches 8 times at vm-0
    Then 5 requests are answered and 3 refused as quantity_exceeded

  Scenario: A leaving daemon refuses truthfully
    Given a fleet of three daemons
    And vm-0 has closed its doors
    When a caller searches at vm-0
    Then the request is refused as leaving and did not run

  Scenario: A daemon that has not joined refuses searches truthfully
    Given a fleet of three daemons
    And vm-0 has not joined yet
    When a caller searches at vm-0
    Then the request is refused as not_ready and did not run

  Scenario: A daemon that has not joined cannot say that a run did not run
    Given a fleet of three daemons
    And a session of vm-1
    And vm-0 has not joined yet
    When a caller sends a run to vm-0
    Then the request is refused as not_ready and may have run

  Scenario: The count of a run survives its arbiter
    Given a fleet of three daemons
    And a session of vm-1
    When a caller sends a run to vm-1
    And vm-1 has crashed
    And a caller sends a run to vm-0
    Then the request is refused as arbiter_gone and may have run
    And the refusal has a receipt

  Scenario: A pause during a search sends nothing more on the old view
    Given a fleet of three daemons
    And both replicas of shard s0 fail
    When vm-0 pauses while a caller searches there
    Then no searcher was called after the pause

  Scenario: A receipt is given only for a count that stands in another zone
    Given a fleet of three daemons
    And a session of vm-1
    When a caller sends a run to vm-1
    And vm-1 has crashed
    And vm-2 has crashed
    And a caller sends a run to vm-0
    Then the request is refused as arbiter_gone and may have run
    And the refusal has no receipt
