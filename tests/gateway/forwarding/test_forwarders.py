"""Questions to peers whether they reach an endpoint."""

import socket
from datetime import timedelta
from random import Random

from sassafrasdale.clock import SystemClock
from sassafrasdale.decisions.links import Reachability
from sassafrasdale.gateway.forwarding.forwarders import ASK_TIMEOUT, Forwarders
from sassafrasdale.gateway.forwarding.messages import EndpointReachability, encode
from sassafrasdale.gateway.peer_states import Contact
from sassafrasdale.gateway.roster import Roster
from sassafrasdale.green import sleep, spawn
from tests.gateway.fleets import contact
from tests.stalls import hold_up

CLOCK = SystemClock()
SENT_AFTER = timedelta(milliseconds=100)


def ask_in_a_pause(answer: Reachability | None) -> dict[str, Reachability]:
    """Return what a peer answers while this process pauses beyond the time-out.

    :param answer: the peer's answer; None for no answer.
    """
    listener = socket.create_server(("127.0.0.1", 0))
    roster = Roster(contact("front-a-1"), CLOCK)
    port = listener.getsockname()[1]
    roster.record_contact(Contact("front-b-1", "b", "127.0.0.1", port, 1))
    forwarders = Forwarders(roster, CLOCK, Random(1))
    task = spawn(forwarders.ask, "i-1")
    sleep(SENT_AFTER)
    connection, _ = listener.accept()

    def respond() -> None:
        assert connection.recv(65536)
        if answer is not None:
            body = encode(EndpointReachability(answer))
            head = b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n" % len(body)
            connection.sendall(head + body)

    hold_up(ASK_TIMEOUT, respond)
    try:
        return task.wait()
    finally:
        connection.close()
        listener.close()


def test_an_answer_that_came_in_a_pause_counts():
    """Guards against crashes that are confirmed though a peer reaches the endpoint."""
    answers = ask_in_a_pause(Reachability.REACHED)
    assert answers == {"front-b-1": Reachability.REACHED}


def test_a_question_without_an_answer_ends_soon_after_a_pause():
    """Guards against diagnoses that a pause has begin anew."""
    began_at = CLOCK.elapsed()
    assert ask_in_a_pause(None) == {}
    assert CLOCK.elapsed() - began_at < ASK_TIMEOUT + 2 * SENT_AFTER
