"""Path patterns of request rules: a restricted subset of regular expressions.

Every request path is matched against these patterns, and callers control the paths. The
subset prevents catastrophic backtracking: matching takes linear, or at worst quadratic,
time in the length of the path. To that end, groups cannot be repeated, and two
repetitions must be separated by a slash that the first one cannot match.
"""

import dataclasses
import re

__all__ = ["check_path_pattern"]

MAX_PATTERN_LENGTH = 200
MAX_REPEAT_COUNT = 64

_TOKEN = re.compile(
    r"""
    (?P<group>\((?:\?:)?)
    | (?P<close>\))
    | (?P<or>\|)
    | (?P<quantifier>[*+?][*+?]?|\{[^}]*\}[+?]?)
    | (?P<set>\[\^?(?:\\.|[^\]\\])+\])
    | (?P<escape>\\.)
    | (?P<any>\.)
    | (?P<literal>[^\\()\[\]{}*+?|.^$])
    """,
    re.VERBOSE | re.DOTALL,
)
_COUNT = re.compile(r"\{(\d{1,4})?(,)?(\d{1,4})?\}")
_ESCAPES = frozenset(r"\./-_~()[]{}*+?|^$:@!&',;=%" + "dw")


@dataclasses.dataclass(slots=True, kw_only=True)
class _ParserState:
    """State of the check after the tokens read so far.

    Attributes:
        previous: Kind of the previous token.
        previous_text: Text of the previous token.
        repeat_in_segment: Whether a repetition follows the last top-level slash.
        repeat_before_slash: Value of ``repeat_in_segment`` before that slash.
        slash_repeats: Number of repetitions that can match a slash.
        depth: Number of open groups.
    """

    previous: str = ""
    previous_text: str = ""
    repeat_in_segment: bool = False
    repeat_before_slash: bool = False
    slash_repeats: int = 0
    depth: int = 0


def check_path_pattern(pattern: str) -> str | None:
    """Return the reason to reject ``pattern``, or ``None`` if it is permitted."""
    if len(pattern) > MAX_PATTERN_LENGTH:
        return f"longer than {MAX_PATTERN_LENGTH} characters"
    try:
        re.compile(pattern)
    except (re.error, OverflowError, RecursionError) as error:
        return f"not a regular expression: {error}"
    scan = _ParserState()
    position = 0
    while position < len(pattern):
        match = _TOKEN.match(pattern, position)
        if match is None:
            return f"unsupported syntax at character {position + 1}"
        problem = _check_token(scan, match.lastgroup or "", match.group())
        if problem:
            return f"{problem} at character {position + 1}"
        position = match.end()
    return None


def _check_token(scan: _ParserState, kind: str, text: str) -> str | None:
    if kind == "quantifier":
        problem = _check_quantifier(scan, text)
    else:
        problem = _check_atom(scan, kind, text)
    scan.previous, scan.previous_text = kind, text
    return problem


def _check_atom(scan: _ParserState, kind: str, text: str) -> str | None:
    scan.depth += {"group": 1, "close": -1}.get(kind, 0)
    if text == "/" and scan.depth == 0:
        scan.repeat_before_slash = scan.repeat_in_segment
        scan.repeat_in_segment = False
    if kind == "escape" and text[1] not in _ESCAPES:
        return f"unsupported escape {text!r}"
    return None


def _check_quantifier(scan: _ParserState, text: str) -> str | None:
    if scan.previous in ("", "group", "or", "quantifier"):
        return "a repetition of nothing"
    if scan.previous_text == "/":
        scan.repeat_in_segment = scan.repeat_before_slash
    if text == "?":
        return None
    if len(text) > 1 and not text.endswith("}"):
        return f"unsupported repetition {text!r}"
    if scan.previous == "close":
        return "a repeated group"
    if text.startswith("{") and not _is_small_count(text):
        return f"a repetition outside 0 to {MAX_REPEAT_COUNT}"
    return _check_repeat(scan)


def _check_repeat(scan: _ParserState) -> str | None:
    if scan.repeat_in_segment:
        return "a second repetition with no '/' after the first"
    if re.fullmatch(scan.previous_text, "/"):
        scan.slash_repeats += 1
        if scan.slash_repeats > 1:
            return "a second repetition that matches '/'"
    scan.repeat_in_segment = True
    return None


def _is_small_count(text: str) -> bool:
    match = _COUNT.fullmatch(text)
    if match is None:
        return False
    low, comma, high = match.groups()
    last = high if comma else low
    return last is not None and int(last) <= MAX_REPEAT_COUNT
