"""One caller: it asks, retries what was surely not run, and checks the answer."""

from __future__ import annotations

import asyncio
import enum
import time
from random import Random

import aiohttp
import msgspec

from baobabthread.load.addresses import Address, AddressBook
from baobabthread.load.checks import (
    Checked,
    Fault,
    ProblemBody,
    StreamCheck,
    check_call,
    check_chat,
    check_text,
    is_flawed,
    parse_problem,
)
from baobabthread.load.settings import LoadAccount, LoadSettings, Work
from baobabthread.load.work import Request

PAUSE_S = 0.05
CONNECT_S = 1.0


class Result(enum.StrEnum):
    """Name how a request ended for its caller."""

    ANSWERED = "answered"
    REFUSED = "refused"
    """Refused, or never connected: it was not run."""
    FAILED = "failed"
    """Ended by a typed error that says that it ran."""
    UNKNOWN = "unknown"
    """Ended without word whether it ran."""
    LOST = "lost"
    """Silent past the deadline, or answered although nobody ran it."""
    CUT = "cut"
    WRONG = "wrong"


RESULT_OF_RAN = {"no": Result.REFUSED, "yes": Result.FAILED}


class Record(msgspec.Struct, kw_only=True):
    """Hold how one request ended."""

    own_id: str
    account: str
    work: Work
    result: Result
    kind: str = ""
    """Kind of the problem, empty for an answer."""
    ran: str = ""
    latency_s: float = 0.0
    first_token_s: float | None = None
    request_id: str = ""
    key: str = ""
    version: str = ""
    tokens: int = 0
    attempts: int = 1
    flawed: bool = False
    moved: bool = False


class Attempt(msgspec.Struct, kw_only=True):
    """Hold how one attempt ended."""

    result: Result
    kind: str = ""
    ran: str = ""
    retry_after_s: float | None = None
    request_id: str = ""
    version: str = ""
    session: str = ""
    moved: bool = False
    text: str = ""
    tokens: int = 0
    first_token_at: float | None = None


class Caller:
    """Make requests of one account, one session at a time."""

    __slots__ = (
        "_book",
        "_in_session",
        "_rng",
        "_session",
        "_settings",
        "_token",
        "_use_session",
        "account",
    )

    def __init__(
        self,
        *,
        session: aiohttp.ClientSession,
        settings: LoadSettings,
        account: LoadAccount,
        name: str,
        rng: Random,
    ) -> None:
        self.account = account
        self._session = session
        self._settings = settings
        self._rng = rng
        self._book = AddressBook(
            session=session,
            entries=settings.entries,
            rng=rng,
            caller=name,
            failure_domain=settings.failure_domain,
        )
        self._token = ""
        self._in_session = 0
        self._use_session = rng.random() < settings.session_share

    async def run(self, request: Request, *, due: float) -> Record:
        """Make a request until it is answered, may have run, or runs out of time."""
        deadline = due + self._settings.deadline_s
        key = ""
        uncertain: Attempt | None = None
        attempts = 0
        while True:
            address = await self._book.choose()
            if uncertain is None:
                key = self._make_key(request, address)
            attempts += 1
            attempt = await self._try(request, address, key, deadline)
            if uncertain is not None and attempt.result is Result.REFUSED:
                # A later refusal speaks of its own attempt only: the earlier one may
                # have run, so the request stays unknown.
                attempt = uncertain
            elif self._may_repeat(request, attempt):
                uncertain = attempt
            if not self._goes_on(attempt, uncertain, attempts):
                break
            self._book.avoid(address, attempt.retry_after_s)
            if not await self._pause(attempt, deadline):
                break
        return self._record(request, attempt, key, attempts, due)

    def _make_key(self, request: Request, address: Address) -> str:
        """Return a key that was never sent, or was surely not run under."""
        if request.work is Work.BOUND:
            return f"{address.incarnation}/{request.own_id}"
        if request.work is Work.FREE:
            return f"{request.own_id}~{int(time.time())}"
        return ""

    def _may_repeat(self, request: Request, attempt: Attempt) -> bool:
        """Tell whether repeating under the same key can tell what happened."""
        return request.is_keyed and attempt.result is Result.UNKNOWN

    def _goes_on(
        self, attempt: Attempt, uncertain: Attempt | None, attempts: int
    ) -> bool:
        if attempts >= self._settings.max_attempts:
            return False
        return attempt.result is Result.REFUSED or attempt is uncertain

    async def _pause(self, attempt: Attempt, deadline: float) -> bool:
        """Wait as told and tell whether there is time left."""
        wait_s = attempt.retry_after_s
        if wait_s is None:
            wait_s = PAUSE_S * (0.5 + self._rng.random())
        if time.monotonic() + wait_s >= deadline:
            return False
        await asyncio.sleep(wait_s)
        return True

    async def _try(
        self, request: Request, address: Address, key: str, deadline: float
    ) -> Attempt:
        left_s = deadline - time.monotonic()
        if left_s <= 0.001:
            return Attempt(result=Result.REFUSED, kind="late", ran="no")
        headers = self._make_headers(request, key, left_s)
        check = StreamCheck()
        started = False
        try:
            async with self._session.post(
                self._book.url(address, request.path),
                data=request.body,
                headers=headers,
                timeout=aiohttp.ClientTimeout(
                    total=left_s + self._settings.grace_s, sock_connect=CONNECT_S
                ),
            ) as response:
                started = response.status == 200
                return await self._judge(request, response, check)
        except (aiohttp.ClientConnectorError, aiohttp.ConnectionTimeoutError):
            return Attempt(result=Result.REFUSED, kind="unreachable", ran="no")
        except TimeoutError:
            return Attempt(result=Result.LOST, kind="silent", ran="unknown")
        except (aiohttp.ClientError, OSError) as error:
            kind = type(error).__name__
            result = Result.CUT if started else Result.UNKNOWN
            return Attempt(result=result, kind=kind, ran="unknown")

    def _make_headers(
        self, request: Request, key: str, left_s: float
    ) -> dict[str, str]:
        headers = {
            "Authorization": f"Bearer {self.account.key}",
            "Content-Type": "application/json",
            "X-Deadline-Ms": str(max(1, int(left_s * 1000))),
        }
        if key:
            headers["Idempotency-Key"] = key
        if self._settings.priority is not None:
            headers["Baobab-Priority"] = self._settings.priority.value
        if request.is_chat and self._settings.model_call:
            headers["Baobab-Call"] = self._settings.model_call
        if self._token and request.is_chat:
            headers["Baobab-Session"] = self._token
        return headers

    async def _judge(
        self, request: Request, response: aiohttp.ClientResponse, check: StreamCheck
    ) -> Attempt:
        if response.status != 200:
            problem = parse_problem(await response.read())
            return _judge_problem(problem, response)
        attempt = Attempt(
            result=Result.ANSWERED,
            request_id=response.headers.get("X-Request-Id", ""),
            version=response.headers.get("Baobab-Version", ""),
            session=response.headers.get("Baobab-Session", ""),
            moved="Baobab-Session-Moved" in response.headers,
        )
        if request.work is not Work.STREAM:
            checked = self._check_body(request, await response.read())
        else:
            async for data in response.content.iter_any():
                check.feed(data)
                if attempt.first_token_at is None and check.tokens:
                    attempt.first_token_at = time.monotonic()
            if check.problem is not None:
                return _judge_problem(check.problem, response)
            checked = check.finish()
        return self._judge_checked(request, attempt, checked)

    def _check_body(self, request: Request, raw: bytes) -> Checked:
        if request.is_chat:
            return check_chat(raw)
        return check_call(raw, request, echoed=self._settings.standin_answers)

    def _judge_checked(
        self, request: Request, attempt: Attempt, checked: Checked
    ) -> Attempt:
        settings = self._settings
        if request.is_chat and settings.standin_answers and checked.fault is None:
            checked = check_text(
                checked,
                request,
                version=attempt.version,
                max_tokens=settings.max_tokens,
            )
        if checked.fault is not None:
            cut = checked.fault is Fault.CUT
            attempt.result = Result.CUT if cut else Result.WRONG
            attempt.kind, attempt.ran = checked.reason, "yes"
        attempt.text, attempt.tokens = checked.text, checked.tokens
        return attempt

    def _record(
        self,
        request: Request,
        attempt: Attempt,
        key: str,
        attempts: int,
        due: float,
    ) -> Record:
        self._keep_session(request, attempt)
        first = attempt.first_token_at
        return Record(
            own_id=request.own_id,
            account=request.account.name,
            work=request.work,
            result=attempt.result,
            kind=attempt.kind,
            ran=attempt.ran,
            latency_s=time.monotonic() - due,
            first_token_s=None if first is None else first - due,
            request_id=attempt.request_id,
            key=key,
            version=attempt.version,
            tokens=attempt.tokens,
            attempts=attempts,
            flawed=is_flawed(attempt.text),
            moved=attempt.moved,
        )

    def _keep_session(self, request: Request, attempt: Attempt) -> None:
        if not (self._use_session and request.is_chat):
            return
        if attempt.result is Result.ANSWERED:
            self._token = attempt.session or self._token
            self._in_session += 1
        if self._in_session >= self._settings.session_requests:
            self._token, self._in_session = "", 0


def _judge_problem(problem: ProblemBody, response: aiohttp.ClientResponse) -> Attempt:
    retry_after_s = problem.retry_after_s
    header = response.headers.get("Retry-After", "")
    if retry_after_s is None and header.isdecimal():
        retry_after_s = float(header)
    return Attempt(
        result=RESULT_OF_RAN.get(problem.ran, Result.UNKNOWN),
        kind=problem.kind,
        ran=problem.ran,
        retry_after_s=retry_after_s,
        request_id=response.headers.get("X-Request-Id", ""),
    )
