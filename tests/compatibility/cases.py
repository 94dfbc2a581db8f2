"""The inputs of the compatibility tests: calls, settings and commands, whose outcome on release
7dc65ba is recorded.
"""

HEARTBEAT = (
    '{"address":"10.9.0.1:80","details":{"service":"s","version":"v1","zone":"a1","slots":4},'
    '"status":{"state":"%s","callSeq":%d,"coldLeftMs":0}}'
)
CONFIG = (
    '{"version":"r%d","parentVersion":"r%d","routes":[{"name":"r-1","host":"h.example",'
    '"pathPrefix":"/p/","variant":"pure","timeoutMs":2000,"targetMs":400,"priority":1,'
    '"service":"%s","maxAttempts":2}],"services":[{"name":"s","healthPath":"/health",'
    '"maxConns":50,"warmupS":3,"coldPerS":6}],"limits":{"headerMaxBytes":2000,'
    '"bodyMaxBytes":5000,"headerReadMs":1000,"idleMs":5000}}'
)


def call(method, path, body=""):
    """One call as raw HTTP."""
    return f"{method} {path} HTTP/1.1\r\nHost: x\r\nContent-Length: {len(body)}\r\n\r\n{body}"


def heartbeat(body, id="i-1"):
    """One heartbeat as raw HTTP."""
    return call("POST", f"/v1/instances/{id}/heartbeat", body)


# Every call goes to the same registry, in this order.
CALLS = [
    call("GET", "/v1/config/read"),
    call("POST", "/v1/config/replace", CONFIG % (2, 0, "nobody")),
    call("POST", "/v1/config/replace", CONFIG % (2, 0, "s")),
    call("POST", "/v1/config/replace", CONFIG % (2, 0, "s")),
    call("POST", "/v1/config/replace", CONFIG % (3, 0, "s")),
    call("POST", "/v1/config/replace", CONFIG % (1, 2, "s")),
    call("POST", "/v1/config/replace", "{"),
    call("POST", "/v1/config/replace", '{"version":"r9"}'),
    call("POST", "/v1/config/replace", (CONFIG % (4, 2, "s")).replace('2000,"target', '0,"target')),
    call("POST", "/v1/config/replace", (CONFIG % (4, 2, "s")).replace('"/p/"', '"p/"')),
    call("GET", "/v1/config/replace"),
    call("GET", "/v1/config/read"),
    call("POST", "/v1/config/read"),
    heartbeat(HEARTBEAT % ("ready", 1)),
    heartbeat(HEARTBEAT % ("ready", 0)),
    heartbeat(HEARTBEAT % ("sleeping", 2)),
    heartbeat("["),
    heartbeat("[]"),
    heartbeat("{}"),
    heartbeat((HEARTBEAT % ("ready", 3)).replace("10.9.0.1:80", "10.9.0.1")),
    heartbeat((HEARTBEAT % ("ready", 3)).replace('"slots":4', '"slots":0')),
    heartbeat((HEARTBEAT % ("ready", 3)).replace('"service":"s"', '"service":""')),
    heartbeat((HEARTBEAT % ("ready", 3)).replace('"v1"', "7")),
    call("GET", "/v1/instances/i-1/heartbeat"),
    call("POST", "/v1/instances/" + "x" * 201 + "/heartbeat", "{}"),
    heartbeat(HEARTBEAT % ("draining", 4)),
    call("POST", "/v1/instances/i-1/leave"),
    call("POST", "/v1/instances/i-unknown/leave"),
    call("POST", "/v1/evacuation/a1/begin"),
    call("POST", "/v1/evacuation/a1/begin"),
    call("POST", "/v1/evacuation/a1/finish"),
    call("POST", "/v1/evacuation/nowhere/begin"),
    call("GET", "/v1/evacuation/a1/begin"),
    call("POST", "/v1/evacuation/a1/pause"),
    call("GET", "/v1/partners"),
    call("GET", "/v1/partners/explain?host=h.example&path=/p/x"),
    call("GET", "/v1/partners/explain?host=h.example&path=p"),
    call("GET", "/v1/partners/explain?host=h.example&path=/p/&zone=nowhere"),
    call("POST", "/v1/partners"),
    call("PUT", "/v1/partners/shop/offer", "{"),
    call("PUT", "/v1/partners/shop/offer", "{}"),
    call("GET", "/v1/partners/shop/offer"),
    call("DELETE", "/v1/partners/shop/offer"),
    call("POST", "/v1/partners/shop/offer"),
    call("GET", "/v1/partners/shop/other"),
    call("GET", "/v1/rollouts"),
    call("GET", "/v1/rollouts/s"),
    call("PUT", "/v1/rollouts/s", "{"),
    call("PUT", "/v1/rollouts/s", "{}"),
    call("POST", "/v1/rollouts/s/pause"),
    call("GET", "/v1/rollouts/s/pause"),
    call("POST", "/v1/rollouts/s/stop"),
    call("DELETE", "/v1/rollouts/s"),
    call("POST", "/v1/rollouts"),
    call("GET", "/v1/sessions/one"),
    call("POST", "/v1/sessions/one"),
    call("GET", "/v1/sessions/" + "x" * 257),
    call("POST", "/v1/stand"),
    call("GET", "/v2/stand"),
    call("GET", "/v1/nothing"),
    "NONSENSE\r\n\r\n",
]
DIRECTORY_CALLS = [
    call("GET", "/v1/resolve?name=h.example&region=a&zone=a1"),
    call("GET", "/v1/resolve?name=h.example&region=b&zone=b1"),
    call("GET", "/v1/resolve"),
    call("POST", "/v1/resolve"),
]

SETTINGS = """
[daemon]
name = "edge-a-1"
machineClass = "edge"
ip = "10.0.0.1"
zone = "a1"
region = "a"
counted = true
firstStart = true
dataPath = "/data"
[limits]
memoryMb = 296.5
fileLimit = 4100
[connections]
innerPorts = [7200, 7215]
seeds = ["10.0.0.1:8000", "10.0.0.2:8000"]
[listen]
control = "10.0.0.1:8000"
[zones]
b1 = "b"
[terms]
beatMs = 1200
[tolerance]
disk = 1
[policy]
path = "/etc/policy.lua"
[steering]
on = true
[platform]
address = "10.3.0.1:90"
duties = ["usage_report"]
dutyPerS = 5
[bounds]
contactMs = 3000
retryExtra = 62
"""


def changed(before, after):
    """The settings with one line changed."""
    assert before in SETTINGS, before
    return SETTINGS.replace(before, after)


SETTINGS_FILES = [
    SETTINGS,
    '[daemon]\nname="n"\nip="10.0.0.1"\nzone="z"\nregion="r"\n[connections]\ninnerPorts=[1,2]\n',
    "",
    "= nonsense",
    "daemon = 5",
    changed('name = "edge-a-1"', ""),
    changed('ip = "10.0.0.1"', 'ip = "10.0.1"'),
    changed("counted = true", "counted = 1"),
    changed("memoryMb = 296.5", 'memoryMb = "much"'),
    changed("fileLimit = 4100", "fileLimit = true"),
    changed("[7200, 7215]", "[7215, 7200]"),
    changed("[7200, 7215]", "[7200]"),
    changed('"10.0.0.2:8000"', '"10.0.0.2"'),
    changed('control = "10.0.0.1:8000"', 'control = "10.0.0.1:80000"'),
    changed('b1 = "b"', "b1 = 5"),
    changed("beatMs = 1200", 'beatMs = "1"'),
    changed('address = "10.3.0.1:90"', 'address = "here"'),
    changed('["usage_report"]', "[5]"),
    changed("dutyPerS = 5", "dutyPerS = 0"),
    changed("contactMs = 3000", "contactMs = 0"),
    changed("contactMs = 3000", "contactMs = true"),
    changed("retryExtra = 62", "retryExtra = -1"),
]

BAD_SETTINGS = "bad-settings.toml"
MISSING = "missing.toml"
UNREACHABLE = "127.0.0.1:1"
# Commands that call the control port.
CONTROL_COMMANDS = [
    ["rehearse", "a"],
    ["partners", "offer", "shop", "config.json"],
    ["partners", "withdraw", "shop"],
    ["partners", "show"],
    ["partners", "show", "--json"],
    ["partners", "explain", "h.example", "/p/"],
    ["rollouts", "start", "s", "config.json"],
    ["rollouts", "show"],
    ["rollouts", "pause", "s"],
    ["rollouts", "end", "s"],
    ["delays"],
    ["delays", "--json"],
    ["sessions", "show", "one"],
]
# Arguments of `python3 -m stagevale`; files named here stand in the folder where it is run.
COMMANDS = [
    [],
    ["--help"],
    ["--version"],
    ["proxy", "--help"],
    ["registry", "--help"],
    ["store", "--help"],
    ["doctor", "--help"],
    ["rehearse", "--help"],
    ["partners", "--help"],
    ["rollouts", "--help"],
    ["delays", "--help"],
    ["sessions", "--help"],
    *[["partners", name, "--help"] for name in ("offer", "withdraw", "show", "explain")],
    *[
        ["rollouts", name, "--help"]
        for name in ("start", "show", "pause", "resume", "promote", "rollback", "end")
    ],
    ["sessions", "show", "--help"],
    *[[*words, "--control", UNREACHABLE] for words in CONTROL_COMMANDS],
    *[[*words, "--control", "nowhere"] for words in CONTROL_COMMANDS],
    ["nothing"],
    ["proxy"],
    ["store"],
    ["registry"],
    ["doctor"],
    ["doctor", "--directory", "10.0.0.1:80"],
    ["doctor", "--control", "nowhere"],
    ["doctor", "--settings", MISSING],
    ["doctor", "--settings", BAD_SETTINGS],
    ["doctor", "--settings", BAD_SETTINGS, "--json"],
    ["doctor", "--config", "config.json", "--json"],
    ["doctor", "--deploy", "deploy.toml", "--json"],
    ["rehearse", "a", "--control", "nowhere"],
    ["rehearse", "a", "--control", "10.0.0.1:80", "--seconds", "0"],
]
FILES = {
    BAD_SETTINGS: changed("contactMs = 3000", "contactMs = 0"),
    "config.json": CONFIG % (2, 0, "nobody"),
    "deploy.toml": '[roles.proxy]\nrun = "python3 -m stagevale proxy"\non = "edge"\n',
}
