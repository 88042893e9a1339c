Feature: The real programs keep their promises while faults come from outside
  Scenario: A short seeded run of processes, proxies and signals breaks no promise
    When the soak plays seed 7 for 26 s with 3 hosts and 3 servers
    Then it ends with no broken promise and leaves no process behind

  Scenario Outline: Each check of the soak finds what it is for
    Given a record of a run in which all went well
    When in it <what happens>
    Then the check <check> finds it

    Examples:
      | what happens                                       | check          |
      | a stream ends as whole before its last event       | whole_answers  |
      | a stream holds another request's events            | whole_answers  |
      | a stream holds an event twice                      | whole_answers  |
      | events come of an unknown version                  | whole_answers  |
      | a stream that is taken up lacks its end            | whole_answers  |
      | a stream that is taken up holds an event twice     | whole_answers  |
      | a request that may run once runs twice             | once           |
      | a refused request comes again on its connection    | distinct_answers |
      | an item runs at two servers for 0.41 s             | one_server     |
      | a stream runs at two servers after another host's fault | one_server |
      | an item runs at two servers after a stall and a fault beside | one_server |
      | an item runs at two servers and the first run never ends | one_server |
      | a request is answered 503 and runs                 | not_run        |
      | an item of a refused job runs                      | not_run        |
      | a server runs what nobody sent                     | unasked        |
      | a server gets another body                         | unasked        |
      | a server is told another team                      | unasked        |
      | an accepted job lacks an item                      | kept_jobs      |
      | a job's position changes                           | kept_jobs      |
      | a job's text lacks an event                        | kept_jobs      |
      | a job's text holds an event of an unknown version  | kept_jobs      |
      | one answer holds events of two versions            | one_version    |
      | a stream goes on at another version as it is taken up again | one_version |
      | an item's text holds events of two versions        | one_version    |
      | an item that always fails gets ten answers         | attempts       |
      | an item is given up after two answers              | attempts       |
      | an item that always fails succeeds                 | kept_jobs      |
      | nothing is served after the last fault             | recovered      |
      | a host ends by itself                              | exits          |
      | a server gets a request 2.1 s after it leaves      | draining       |
      | a server that left gets a request after another host's fault | draining |
      | a server that left gets a request 3 s after its host's fault | draining |
      | an evacuated server gets a request 5.1 s later     | evacuated      |
      | an evacuated server gets a request after another host's fault | evacuated |
      | a cold server gets ten requests at once            | cold_servers   |
      | a withdrawn key is served                          | withdrawn_keys |
      | a team runs more than its quota                    | quota          |
      | a host takes too much memory                       | bounded        |
      | twelve streams are taken up in vain                | taken_up       |
      | twelve streams are taken up in vain after another host's fault | taken_up |
      | twelve streams are taken up without an answer      | taken_up       |
      | twelve streams without an answer are reset 1.1 s later | taken_up   |
      | twelve streams are refused whose connections are reset later | taken_up |

  Scenario Outline: The checks on streams that are taken up find nothing else
    Given a record of a run in which all went well
    When in it <what happens>
    Then no check finds anything

    Examples:
      | what happens                                                              |
      | a stream is taken up twice at its own version                             |
      | eleven streams are taken up in vain                                       |
      | twelve streams are taken up in vain as one server of their version serves |
      | twelve streams are taken up in vain as a server of their version leaves   |
      | twelve streams are taken up in vain 2.9 s after their host's fault        |
      | twelve streams without an answer are reset 0.9 s later                    |

  Scenario: What two servers run at once is found only where hosts could have known
    Then no check finds an item at two servers for 0.39 s, nor for 0.41 s beside faults

  # Guards against a soak whose servers copy nothing, or copy where the id tells.
  Scenario: A server of the soak copies a refusal where the same request comes again
    When requests come again to a server that refused them
    Then it copies the refusals of those that come on the same connection, and no others

  Scenario: A schedule depends on its seed only and leaves the end calm
    Then two draws of one seed are the same and no fault begins in the last 14 s

  Scenario: A run with more kinds of faults plays the former ones at the same times
    Then an evacuation and a release come beside the same other faults, and end before the calm end

  Scenario: Faults on one host never overlap
    When a host is killed while all hosts are stopped in turn
    Then each host is harmed by one fault at a time

  # A host's callers once reached the health check of another host of the same run.
  Scenario: Programs of a run are never given the same port
    When ports are drawn one after the other from a range that is hardly larger
    Then all of them differ
