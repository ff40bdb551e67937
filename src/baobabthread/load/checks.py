"""Checks that an answer is whole and belongs to the request that was made."""

from __future__ import annotations

import enum

import msgspec

from baobabthread.load.work import Request
from baobabthread.standins.answers import FLAWED_WORD, write_answer

FINISHED = ("stop", "length")


class Fault(enum.StrEnum):
    """Name what is wrong with an answer."""

    CUT = "cut"
    WRONG = "wrong"


class Usage(msgspec.Struct, frozen=True):
    """Count the tokens of one answer."""

    completion_tokens: int = 0


class Checked(msgspec.Struct, frozen=True, kw_only=True):
    """Hold the verdict on one answer."""

    fault: Fault | None = None
    reason: str = ""
    text: str = ""
    tokens: int = 0


class ProblemBody(msgspec.Struct, frozen=True):
    """Hold the fields of a problem that a caller acts on."""

    kind: str = "unnamed"
    ran: str = "unknown"
    retry_after_s: float | None = None


class _Message(msgspec.Struct, frozen=True):
    content: str = ""


class _Choice(msgspec.Struct, frozen=True):
    message: _Message = _Message()
    delta: _Message = _Message()
    finish_reason: str | None = None


class _Chat(msgspec.Struct, frozen=True):
    request_id: str
    choices: list[_Choice]
    index: int = 0
    usage: Usage | None = None


class _Echo(msgspec.Struct, frozen=True):
    id: str = ""


class _CallResult(msgspec.Struct, frozen=True):
    echo: _Echo = _Echo()


class _Call(msgspec.Struct, frozen=True):
    request_id: str
    result: _CallResult = _CallResult()


_decode_chat = msgspec.json.Decoder(_Chat).decode
_decode_call = msgspec.json.Decoder(_Call).decode
_decode_problem = msgspec.json.Decoder(ProblemBody).decode


def parse_problem(raw: bytes) -> ProblemBody:
    """Return the problem, or one that says nothing when it can't be read."""
    try:
        return _decode_problem(raw)
    except msgspec.MsgspecError:
        return ProblemBody()


def check_chat(raw: bytes) -> Checked:
    """Check a whole answer of a model."""
    try:
        chat = _decode_chat(raw)
    except msgspec.MsgspecError as error:
        return Checked(fault=Fault.CUT, reason=str(error))
    if not chat.choices or chat.choices[0].finish_reason not in FINISHED:
        return Checked(fault=Fault.CUT, reason="no finish")
    usage = chat.usage or Usage()
    text = chat.choices[0].message.content
    return Checked(text=text, tokens=usage.completion_tokens)


def check_call(raw: bytes, request: Request, *, echoed: bool) -> Checked:
    """Check the answer of a plain service, against the echo that stand-ins give."""
    try:
        call = _decode_call(raw)
    except msgspec.MsgspecError as error:
        return Checked(fault=Fault.CUT, reason=str(error))
    if echoed and call.result.echo.id != request.own_id:
        return Checked(fault=Fault.WRONG, reason="another request's echo")
    return Checked()


def check_text(
    checked: Checked, request: Request, *, version: str, max_tokens: int
) -> Checked:
    """Check a text against the one that stand-in engines of the version give."""
    expected = write_answer(
        version=version, prompt=request.prompt, strength=1.1, max_tokens=max_tokens
    ).tokens
    # A flawed answer differs from a good one in its first word only.
    flawed = [f"{FLAWED_WORD} ", *expected[1:]]
    if checked.text in ("".join(expected), "".join(flawed)):
        return checked
    return Checked(fault=Fault.WRONG, reason=f"not the text of {version or 'any'}")


def is_flawed(text: str) -> bool:
    """Tell whether a stand-in engine marked its answer as not good enough."""
    return text.startswith(FLAWED_WORD)


class StreamCheck:
    """Check the events of one stream as its bytes come."""

    __slots__ = ("_buffer", "_done", "_finished", "_texts", "problem", "reason")

    def __init__(self) -> None:
        self._buffer = b""
        self._texts: list[str] = []
        self._finished = False
        self._done = False
        self.reason = ""
        """What was found wrong, empty for nothing."""
        self.problem: ProblemBody | None = None

    @property
    def tokens(self) -> int:
        """Return how many tokens came."""
        return len(self._texts)

    def feed(self, data: bytes) -> None:
        """Take bytes in."""
        whole, mark, self._buffer = (self._buffer + data).rpartition(b"\n\n")
        if mark:
            for event in whole.split(b"\n\n"):
                self._take(event)

    def finish(self) -> Checked:
        """Return the verdict at the end of the stream."""
        if self.reason:
            return Checked(fault=Fault.WRONG, reason=self.reason)
        if not (self._done and self._finished) or self._buffer:
            return Checked(fault=Fault.CUT, reason="no end mark")
        return Checked(text="".join(self._texts), tokens=self.tokens)

    def _take(self, event: bytes) -> None:
        if event.startswith(b"event: error"):
            self.problem = parse_problem(event.partition(b"data: ")[2])
            return
        if not event.startswith(b"data: "):
            return
        data = event.removeprefix(b"data: ")
        if data == b"[DONE]":
            self._done = True
            return
        try:
            self._add(_decode_chat(data))
        except msgspec.MsgspecError as error:
            self.reason = str(error)

    def _add(self, chat: _Chat) -> None:
        if self._done or self._finished:
            self.reason = "an event behind the end"
        elif chat.index != self.tokens:
            self.reason = f"token {chat.index} where {self.tokens} belongs"
        elif chat.choices and chat.choices[0].finish_reason is not None:
            self._finished = chat.choices[0].finish_reason in FINISHED
        elif chat.choices:
            self._texts.append(chat.choices[0].delta.content)
