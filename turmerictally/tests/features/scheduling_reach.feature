Feature: A host tells the loss of its own paths from the failure of servers
  # Guards against sound servers that are blamed for the lost paths of some hosts.
  Scenario Outline: Paths are lost if all that a host tries fails while others are answered
    Given a host that uses 9 servers, and peers that are answered each 0.05 s
    When in its view <what happens>
    Then the host concludes that <conclusion>

    Examples:
      | what happens                                                                 | conclusion                     |
      | connections to server after server are refused for 1 s                       | its paths are lost             |
      | connections to server after server are refused for 1 s, and old streams go on | its paths are lost            |
      | connections to server after server are refused, and open ones are answered | its paths are lost |
      | requests to server after server get no answer for 1 s                        | its paths are lost             |
      | connections to one server are refused for 5 s                                | its paths are sound            |
      | three of nine servers end at once, and each 0.1 s a request is tried on one  | its paths are sound            |
      | one in fifty requests fails for 60 s                                         | its paths are sound            |
      | all servers end, and no peer is answered any more                            | its paths are sound            |
      | all hosts lose their paths at once                                           | its paths are sound            |
      | one request fails each 2 s, each on another server                           | its paths are sound            |
      | connections are refused for 1 s and accepted then                            | its paths were lost and are back |
