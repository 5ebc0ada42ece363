"""The events of one generation, and their content.

Events are forwarded as received. They are parsed only where a decision needs it, and
each at most once: of an ordinary stream only the last two are parsed.
"""

import json
from dataclasses import dataclass
from datetime import timedelta

from sassafrasdale.endpoints.engines import DATA, DONE, Usage, parse_chunk
from sassafrasdale.green import Event


@dataclass(frozen=True, slots=True)
class Received:
    """Content of the events so far.

    :param tokens: tokens received.
    :param text: their text.
    """

    tokens: int
    text: str


@dataclass(frozen=True, slots=True)
class Ending:
    """Content of the engine's last chunk.

    :param finish_reason: why the response ended.
    :param usage: token counts, if the engine reported them.
    """

    finish_reason: str
    usage: Usage | None


class Transcript:
    """Events in the order of their positions, which start at 1.

    :param events: events that the previous holder received.
    """

    def __init__(self, events: list[bytes] | None = None) -> None:
        self._events = events or []
        self._parsed = 0
        self._contents: list[str] = []
        self._waiters: list[Event] = []

    @property
    def events(self) -> list[bytes]:
        """All events."""
        return self._events

    @property
    def is_closed(self) -> bool:
        """Whether the engine's end marker was received."""
        return bool(self._events) and self._events[-1] == DONE

    def extend(self, events: list[bytes]) -> None:
        """Add events at the end and wake the readers."""
        self._events.extend(events)
        self.wake_readers()

    def wait(self, limit: timedelta) -> None:
        """Wait until readers are woken, at most for ``limit``."""
        waiter = Event()
        self._waiters.append(waiter)
        waiter.wait(timeout=limit.total_seconds())

    def wake_readers(self) -> None:
        """Wake every waiting reader."""
        waiters, self._waiters = self._waiters, []
        for waiter in waiters:
            if not waiter.ready():
                waiter.send(None)

    def received(self) -> Received:
        """Return the tokens so far.

        :raises ResponseLost: an event is not a valid chunk.
        """
        for event in self._events[self._parsed :]:
            if event != DONE and (content := parse_chunk(event).content):
                self._contents.append(content)
        self._parsed = len(self._events)
        return Received(len(self._contents), "".join(self._contents))

    def ending(self) -> Ending | None:
        """Return the content of the last chunk, or None if it was not received.

        :raises ResponseLost: the last event is not a valid chunk.
        """
        last = len(self._events) - 1 - self.is_closed
        if last < 0:
            return None
        chunk = parse_chunk(self._events[last])
        if chunk.finish_reason is None:
            return None
        return Ending(chunk.finish_reason, chunk.usage)

    def completion(self, request_id: str, ending: Ending) -> bytes:
        """Return the complete response as an OpenAI-style JSON document."""
        received = self.received()
        usage = ending.usage or Usage()
        first = json.loads(self._events[0].removeprefix(DATA))
        message = {"role": "assistant", "content": received.text}
        document = {
            "id": request_id,
            "object": "chat.completion",
            "model": first.get("model", ""),
            "choices": [
                {
                    "index": 0,
                    "message": message,
                    "finish_reason": ending.finish_reason,
                }
            ],
            "usage": {
                "prompt_tokens": usage.prompt,
                "completion_tokens": received.tokens,
                "total_tokens": usage.prompt + received.tokens,
            },
        }
        return json.dumps(document).encode()
