Feature: Guarantees of the service to callers

  Scenario: An answer is complete, from one snapshot, and counted
    Given a cluster of three daemons
    When a caller searches at vm-0
    Then the answer covers every shard of snapshot gen-2
    And the ledger of each daemon counts one request

  Scenario: A repeated id is counted once, whichever daemon receives it
    Given a cluster of three daemons
    When a caller sends the same search to every daemon
    Then every answer has a receipt
    And the ledger of each daemon counts one request

  Scenario: A zone out of service receives no new work
    Given a cluster of three daemons
    When the operators take zone zb out of service
    And a caller searches at vm-0
    Then no searcher of zone zb was called
    And the answer covers every shard of snapshot gen-2

  Scenario: An entry in a zone out of service refuses and names other entries
    Given a cluster of three daemons
    When the operators take zone za out of service
    And a caller searches at vm-0
    Then the request is refused as zone_out and did not run
    And the remedy names the other entries

  Scenario: Shards that no searcher answers are listed as missing
    Given a cluster of three daemons
    And both searchers of shards s0 and s3 fail
    When a caller with 200 ms to the deadline searches at vm-0
    Then the answer states that s0 and s3 are missing

  Scenario: A search whose count no other zone stores gets no answer
    Given a cluster of three daemons
    And vm-0 is cut off from its peers
    When a caller searches at vm-0
    Then the request is refused as not_counted

  Scenario: A paused daemon sends no new work before it has confirmed its view
    Given a cluster of three daemons
    And vm-0 was paused
    When a caller with an expired deadline searches at vm-0
    Then the request is refused as not_ready and did not run
    And no searcher was called

  Scenario: A non-idempotent request runs once, however often it is sent
    Given a cluster of three daemons
    And a session issued by vm-1
    When a caller sends the same run to every daemon
    Then every answer has a receipt
    And exactly one searcher was called
    And the ledger of each daemon counts one request

  Scenario: A run whose arbiter crashed has an unknown outcome and is not sent
    Given a cluster of three daemons
    And a session issued by vm-1
    And vm-1 has crashed
    When a caller sends a run to vm-0
    Then the request is refused as arbiter_gone and may have run
    And no searcher was called

  Scenario: A new incarnation does not arbitrate sessions of the previous one
    Given a cluster of three daemons
    And a session issued by vm-1
    And vm-1 was restarted with a new incarnation
    When a caller sends a run to vm-0
    Then the request is refused as arbiter_gone and may have run
    And no searcher was called

  Scenario: A run rejected under overload is sent to another searcher
    Given a cluster of three daemons
    And a session issued by vm-0
    And searcher notices-0 rejects under overload
    When a caller sends a run to vm-0
    Then every answer has a receipt

  Scenario: A run that may have reached its searcher is not sent again
    Given a cluster of three daemons
    And a session issued by vm-0
    And every searcher of notices fails
    When a caller sends a run to vm-0
    Then the request is refused as arbiter_gone and may have run
    And exactly one searcher was called

  Scenario: A refused run never runs later
    Given a cluster of three daemons
    And a session issued by vm-0
    And the operators take zone za out of service
    When a caller sends a run to vm-0
    Then the request is refused as zone_out and did not run
    When the operators bring every zone back into service
    And a caller sends a run to vm-0
    Then the request is refused as zone_out and did not run
    And no searcher was called

  Scenario: Requests are served up to the monthly quantity and refused beyond it
    Given a cluster of three daemons with 5 requests a month
    When a caller searches 8 times at vm-0
    Then 5 requests are answered and 3 refused as quantity_exceeded

  Scenario: A leaving daemon refuses searches as not run
    Given a cluster of three daemons
    And vm-0 is leaving
    When a caller searches at vm-0
    Then the request is refused as leaving and did not run

  Scenario: A daemon that has not joined refuses searches as not run
    Given a cluster of three daemons
    And vm-0 has not joined yet
    When a caller searches at vm-0
    Then the request is refused as not_ready and did not run

  Scenario: A daemon that has not joined refuses runs, which may have run already
    Given a cluster of three daemons
    And a session issued by vm-1
    And vm-0 has not joined yet
    When a caller sends a run to vm-0
    Then the request is refused as not_ready and may have run

  Scenario: The count of a run survives a crash of its arbiter
    Given a cluster of three daemons
    And a session issued by vm-1
    When a caller sends a run to vm-1
    And vm-1 has crashed
    And a caller sends a run to vm-0
    Then the request is refused as arbiter_gone and may have run
    And the refusal has a receipt

  Scenario: A search sends nothing after a pause until the view is confirmed
    Given a cluster of three daemons
    And both searchers of shards s0 and s3 fail
    When vm-0 pauses while a caller searches there
    Then no searcher was called after the pause

  Scenario: A receipt is given only for a count that another zone stores
    Given a cluster of three daemons
    And a session issued by vm-1
    When a caller sends a run to vm-1
    And vm-1 has crashed
    And vm-2 has crashed
    And a caller sends a run to vm-0
    Then the request is refused as arbiter_gone and may have run
    And the refusal has no receipt
