"""The events of one generation, and what they amount to.

Events are passed on as they come. They are parsed only where a decision needs
it, and each at most once: an ordinary stream has its last two parsed.
"""

import json
from dataclasses import dataclass
from datetime import timedelta

from sassafrasdale.endpoints.engines import DATA, DONE, Usage, parse_chunk
from sassafrasdale.green import Event


@dataclass(frozen=True, slots=True)
class Received:
    """What the events so far amount to.

    :param tokens: tokens received.
    :param text: their text.
    """

    tokens: int
    text: str


@dataclass(frozen=True, slots=True)
class Ending:
    """What the engine's last chunk said.

    :param finish_reason: why the answer ended.
    :param usage: its token counts, if the engine gave them.
    """

    finish_reason: str
    usage: Usage | None


class Transcript:
    """Events in the order of their positions, which begin with 1.

    :param events: events that an earlier holder received.
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
        """Whether the engine's end mark is there."""
        return bool(self._events) and self._events[-1] == DONE

    def extend(self, events: list[bytes]) -> None:
        """Add events at the end and wake the readers."""
        self._events.extend(events)
        self.wake_readers()

    def wait(self, limit: timedelta) -> None:
        """Wait until the readers are woken, or for ``limit``."""
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

        :raises AnswerLost: an event is no chunk.
        """
        for event in self._events[self._parsed :]:
            if event != DONE and (content := parse_chunk(event).content):
                self._contents.append(content)
        self._parsed = len(self._events)
        return Received(len(self._contents), "".join(self._contents))

    def ending(self) -> Ending | None:
        """Return what the last chunk said, or None if it has not come.

        :raises AnswerLost: the last event is no chunk.
        """
        last = len(self._events) - 1 - self.is_closed
        if last < 0:
            return None
        chunk = parse_chunk(self._events[last])
        if chunk.finish_reason is None:
            return None
        return Ending(chunk.finish_reason, chunk.usage)

    def completion(self, request_id: str, ending: Ending) -> bytes:
        """Return the OpenAI-style whole answer."""
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
