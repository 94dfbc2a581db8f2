"""Policies: a small Lua function that may change the cost by which an allowed endpoint is chosen.
Off by default.
"""

from lupa import lua54

MEMORY_BYTES = 2 * 1024 * 1024
STEPS = 2000
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


class PolicyFailure(Exception):
    """A policy that can't be used; the message says why."""


def first_line(failure):
    return (str(failure).splitlines() or ["out of memory"])[0]


class Policy:
    """One policy, bounded in steps and memory; its failures fall back to the built-in cost."""

    __slots__ = ("lua", "call", "failures", "log")

    def __init__(self, source, log):
        self.log = log
        self.failures = 0
        try:
            self.lua = lua54.LuaRuntime(
                max_memory=MEMORY_BYTES, register_eval=False, register_builtins=False
            )
            self.call = self.lua.execute(GUARD)(source, STEPS)
        except (lua54.LuaError, MemoryError) as failure:
            raise PolicyFailure(first_line(failure)) from None

    def cost(self, request, target, cost, load):
        """The policy's cost for this endpoint, or the built-in one where the policy fails."""
        if self.failures >= FAILURES_BORNE:
            return cost
        try:
            own = self.call(
                self.lua.table(
                    route=request.route.name,
                    service=request.service,
                    pure=request.route.pure,
                    priority=request.route.priority,
                    target_ms=request.route.target_ms,
                ),
                self.lua.table(
                    id=target.id,
                    zone=target.zone,
                    region=target.region,
                    slots=target.slots,
                    load=load,
                    speed=target.speed,
                    cost=cost,
                ),
            )
            if isinstance(own, bool) or not isinstance(own, (int, float)) or not 0 <= own < 1e12:
                raise PolicyFailure(f"want a cost from 0, got {own!r}")
            return float(own)
        except (lua54.LuaError, MemoryError, PolicyFailure) as failure:
            self.failures += 1
            self.log.warning(
                "policy: %s%s.",
                first_line(failure),
                "; it is left out from now on" if self.failures >= FAILURES_BORNE else "",
            )
            return cost


def load_policy(path, log):
    """The policy in a file; raises PolicyFailure with the file's name."""
    try:
        with open(path, encoding="utf-8") as file:
            source = file.read(64 * 1024)
    except (OSError, UnicodeDecodeError) as failure:
        raise PolicyFailure(f"{path}: can't be read: {failure}") from None
    try:
        return Policy(source, log)
    except PolicyFailure as failure:
        raise PolicyFailure(f"{path}: {failure}") from None
