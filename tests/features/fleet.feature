Feature: A fleet of real processes under faults

  Scenario: A daemon is killed under load
    Given a fleet of 3 daemons under load
    When daemon 1 is killed
    And 100 more reads have completed
    Then every caller was told the truth in time
    And only callers of the killed daemon lost their connection

  Scenario: Each daemon is restarted in turn under load
    Given a fleet of 3 daemons under load
    When each daemon is restarted while callers use the others
    Then every caller was told the truth in time
    And no request failed
    And every stop was graceful

  Scenario: The log is killed and later restarted
    Given a fleet of 3 daemons under load
    When the log is killed
    And 40 more keyed writes have completed
    And a new daemon is started and callers use it
    And 40 more reads have completed
    And the log is restarted
    And 40 more keyed writes have completed
    Then every caller was told the truth in time

  Scenario: A new daemon accepts keyed writes during an outage of the log
    Given a fleet of 3 daemons under load
    When the log is killed
    And a new daemon is started and callers use it
    And 40 more keyed writes have completed
    Then every caller was told the truth in time

  Scenario: Two operators publish the same version
    Given a fleet of 3 daemons
    When two operators publish version 2 at once
    Then the same bundle of version 2 comes into force at all daemons
    And all daemons reject the other one

  Scenario: A daemon is paused until its leases have expired
    Given a fleet of 3 daemons under load
    When daemon 1 is frozen until its key slots have another home
    And 100 more requests have ended
    And daemon 1 goes on
    And 100 more requests have ended
    Then every caller was told the truth in time

  Scenario: An upstream hangs
    Given a fleet of 3 daemons under load
    When an upstream hangs until it is ejected
    And 100 more reads have completed
    Then every caller was told the truth in time
