"""Policies: a small Lua function that may change the cost by which an allowed endpoint is chosen.
Off by default.
"""

from typing import TYPE_CHECKING, Any

from lupa import lua54

from stagevale.balancing.target import Target
from stagevale.runtime.context import Log

if TYPE_CHECKING:
    from stagevale.balancing.chooser import ChoosableRequest

MEMORY_BYTES = 2 * 1024 * 1024
SOURCE_BYTES = 64 * 1024
STEPS = 2000
MOST_COST = 1e12
# A policy that has failed so often is left out.
FAILURES_BORNE = 20
GUARD = """
local sethook, load, error, pcall, type = debug.sethook, load, error, pcall, type
for _, name in ipairs({"rep", "find", "match", "gmatch", "gsub", "format", "dump"}) do string[name] = nil end
local open = {pairs = pairs, ipairs = ipairs, math = math, string = string, tonumber = tonumber,
              tostring = tostring, type = type, error = error}
local function bounded(steps, call, ...)
  sethook(function() error("too many steps", 0) end, "", steps)
  local ok, result = pcall(call, ...)
  sethook()
  if not ok then error(result, 0) end
  return result
end
return function(source, steps)
  local chunk, failure = load(source, "policy", "t", open)
  if not chunk then error(failure, 0) end
  local policy = bounded(steps, chunk)
  if type(policy) ~= "function" then error("a policy must return a function", 0) end
  return function(...) return bounded(steps, policy, ...) end
end
"""


class PolicyError(Exception):
    """A policy that can't be used; the message says why."""


class Policy:
    """One policy, bounded in steps and memory; where it fails the built-in cost holds.

    Raises:
        PolicyError: the source is no policy.
    """

    __slots__ = ("lua", "log", "failures", "_function")

    def __init__(self, source: str, log: Log) -> None:
        self.log = log
        self.failures = 0
        try:
            self.lua = lua54.LuaRuntime(
                max_memory=MEMORY_BYTES, register_eval=False, register_builtins=False
            )
            self._function = self.lua.execute(GUARD)(source, STEPS)
        except (lua54.LuaError, MemoryError) as error:
            raise PolicyError(_first_line(error)) from None

    def cost(self, request: "ChoosableRequest", target: Target, cost: float, load: float) -> float:
        """The policy's cost for this endpoint, or the built-in one where the policy fails."""
        if self.failures >= FAILURES_BORNE:
            return cost
        try:
            answer = self._function(self._request(request), self._endpoint(target, cost, load))
            return _checked_cost(answer)
        except (lua54.LuaError, MemoryError, PolicyError) as error:
            self.failures += 1
            is_left_out = self.failures >= FAILURES_BORNE
            suffix = "; it is left out from now on" if is_left_out else ""
            self.log.warning("policy: %s%s.", _first_line(error), suffix)
            return cost

    def _request(self, request: "ChoosableRequest") -> Any:
        return self.lua.table(
            route=request.route.name,
            service=request.service,
            pure=request.route.pure,
            priority=request.route.priority,
            target_ms=request.route.target_ms,
        )

    def _endpoint(self, target: Target, cost: float, load: float) -> Any:
        return self.lua.table(
            id=target.id,
            zone=target.zone,
            region=target.region,
            slots=target.slots,
            load=load,
            speed=target.speed,
            cost=cost,
        )


def load_policy(path: str, log: Log) -> Policy:
    """The policy in a file.

    Raises:
        PolicyError: with the file's name.
    """
    try:
        with open(path, encoding="utf-8") as file:
            source = file.read(SOURCE_BYTES)
    except (OSError, UnicodeDecodeError) as error:
        raise PolicyError(f"{path}: can't be read: {error}") from None
    try:
        return Policy(source, log)
    except PolicyError as error:
        raise PolicyError(f"{path}: {error}") from None


def _checked_cost(answer: Any) -> float:
    is_number = isinstance(answer, int | float) and not isinstance(answer, bool)
    if not is_number or not 0 <= answer < MOST_COST:
        raise PolicyError(f"want a cost from 0, got {answer!r}")
    return float(answer)


def _first_line(error: BaseException) -> str:
    return (str(error).splitlines() or ["out of memory"])[0]
