"""Models that validate the bodies of requests."""

from typing import Any, Literal

from pydantic import BaseModel, ConfigDict, Field, ValidationError

from sassafrasdale.callers.exceptions import CallerError

MAX_TOKENS = 32_768
DEFAULT_MAX_TOKENS = 256


class ChatMessage(BaseModel):
    """One message of a conversation."""

    model_config = ConfigDict(extra="allow")

    role: Literal["system", "developer", "user", "assistant", "tool"]
    content: str


class ChatRequest(BaseModel):
    """Body of ``POST /v1/chat/completions``; other fields are passed to the engine."""

    model_config = ConfigDict(extra="allow")

    model: str = Field(min_length=1, max_length=128)
    messages: list[ChatMessage] = Field(min_length=1)
    max_tokens: int = Field(default=DEFAULT_MAX_TOKENS, ge=1, le=MAX_TOKENS)
    stream: bool = False
    n: Literal[1] = 1

    def prompt(self) -> str:
        """Return the text of all messages."""
        return "\n".join(f"{m.role}: {m.content}" for m in self.messages)

    def opening(self) -> tuple[str, ...]:
        """Return the messages up to and including the first of the user.

        Empty for the first turn of a conversation, which continues none.
        """
        if self.messages[-1].role == "user" and self._turns() == 1:
            return ()
        contents = []
        for message in self.messages:
            contents.append(message.content)
            if message.role == "user":
                break
        return tuple(contents)

    def _turns(self) -> int:
        return sum(message.role == "user" for message in self.messages)

    def engine_body(self, model: str) -> dict[str, Any]:
        """Return the request body for an engine that serves ``model``."""
        body = self.model_dump(exclude={"stream", "n"})
        return {**body, "model": model, "max_tokens": self.max_tokens}


def parse_chat(body: bytes) -> ChatRequest:
    """Return the validated body.

    :raises CallerError: with the first invalid field.
    """
    try:
        return ChatRequest.model_validate_json(body)
    except ValidationError as error:
        fault = error.errors(include_url=False, include_input=False)[0]
        field = ".".join(str(part) for part in fault["loc"]) or "body"
        raise CallerError(f"{field}: {fault['msg']}", field=field) from error
