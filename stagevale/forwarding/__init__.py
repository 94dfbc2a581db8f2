"""The way of a request: read, routed, offered to an endpoint, answered."""

from stagevale.balancing.budget import Budget
from stagevale.balancing.chooser import Chooser
from stagevale.balancing.snapshot import empty_snapshot
from stagevale.leases.lease import Lease
from stagevale.sessions.records import KeyState

REFUSE_SHARE = 0.2
RETRY_SHARE = 0.12
HEDGE_EXPECTED = 2.5
HEDGE_SHARE = 0.4


class Request:
    """One request of a client, from its last byte until its answer."""

    __slots__ = (
        "connection",
        "parser",
        "method",
        "target",
        "host",
        "path",
        "headers",
        "body",
        "attempt_id",
        "client_wait_ms",
        "start_ms",
        "deadline_ms",
        "route",
        "service",
        "tries",
        "tried",
        "answer",
        "closes",
        "begun",
        "carriers",
        "timer",
        "offered",
        "sent_ms",
        "was_queued",
        "expected_ms",
        "ran",
        "credentials",
        "tenant",
        "priority",
        "homes",
        "checked_for",
        "window",
        "session",
        "note",
        "prefers",
        "whole",
        "held_ms",
    )

    def __init__(self, connection, parser, head, body, start_ms):
        self.connection = connection
        self.parser = parser
        self.method = head.method if head else b""
        self.target = head.target if head else b""
        self.headers = list(head.headers.raw_items()) if head else []
        self.body = body
        self.start_ms = start_ms
        self.deadline_ms = start_ms
        self.route = None
        self.service = None
        self.tries = 0
        self.tried = ()
        self.answer = None
        self.closes = False
        self.begun = False
        self.carriers = []
        self.timer = None
        self.offered = False
        self.sent_ms = 0.0
        self.was_queued = False
        self.expected_ms = None
        self.ran = False
        self.attempt_id = None
        self.client_wait_ms = None
        self.host = self.path = ""
        self.credentials = None
        self.tenant = None
        self.priority = 0
        self.homes = ()
        self.checked_for = None
        self.window = None
        self.session = None
        self.note = None
        self.prefers = None
        self.whole = False
        self.held_ms = 0.0

    def split_key(self):
        """What a rollout's share is drawn by: the session where there is one, else the try's own
        id.
        """
        return self.session.encode("latin-1") if self.session else self.attempt_id or b""


class Forwarder:
    """Carries requests between clients' connections and endpoints' connections."""

    __slots__ = (
        "context",
        "snapshot",
        "chooser",
        "budgets",
        "waiting",
        "connections",
        "leaving",
        "running",
        "hop_headers",
        "make_connection",
        "born_ms",
        "flows",
        "counts",
        "lease",
        "sessions",
        "outcomes",
    )

    def __init__(self, context, address, make_connection, hop_headers):
        self.context = context
        self.snapshot = empty_snapshot()
        self.chooser = Chooser(context, address)
        self.budgets = {}
        self.waiting = {}
        self.flows = {}
        self.connections = set()
        self.leaving = False
        self.born_ms = context.now_ms()
        self.running = 0
        self.counts = None
        self.sessions = None
        self.lease = self.chooser.lease = Lease(context.settings.bounds)
        self.outcomes = None
        self.make_connection = make_connection
        self.hop_headers = hop_headers | {b"deadline-ms", b"expect-instance", b"expect"}

    def read(self, request):
        """Finds what a request asks for; one that can't go on gets its answer here."""
        host, named = b"", set()
        kept = []
        for name, value in request.headers:
            lower = name.lower()
            if lower == b"connection":
                named.update(token.strip().lower() for token in value.split(b","))
            elif lower == b"host":
                host = value
            elif lower == b"attempt-id":
                request.attempt_id = value
            elif lower == b"deadline-ms":
                request.client_wait_ms = float(value) if value.isdigit() else None
            elif lower == b"authorization":
                request.credentials = value if request.credentials is None else b""
        named.discard(b"close")
        named -= {b"host", b"attempt-id"}
        for name, value in request.headers:
            lower = name.lower()
            if lower not in self.hop_headers and lower not in named:
                kept.append((name, value))
        request.headers = kept
        request.host = (
            host.decode("latin-1").rpartition(":")[0].lower()
            if b":" in host
            else host.decode("latin-1").lower()
        )
        request.path = request.target.decode("latin-1").partition("?")[0]
        snapshot = self.snapshot
        if not request.path.startswith("/"):
            self.own(request, 400, "the target must be a path")
            return
        if not snapshot.hosts:
            self.own(request, 503, "no configuration yet", request.start_ms)
            return
        request.route = snapshot.route(request.host, request.path)
        if request.route is None and snapshot.partners.routes:
            request.route = self.partner_route(request, snapshot)
        if request.route is None:
            self.own(request, 404, "no route")
            return
        if request.attempt_id is None:
            self.own(request, 400, "no Attempt-Id")
            return
        if not self.admit(request, snapshot):
            self.own(request, 401, "no key that is known")
            return
        request.service = request.route.service(self.context.random)
        if request.route.affinity is not None and self.sessions is not None:
            wrong = self.sessions.read(request)
            if wrong:
                self.own(request, 400, wrong)
                return
        wait_ms = (
            request.route.timeout_ms
            if request.client_wait_ms is None
            else min(request.client_wait_ms, request.route.timeout_ms)
        )
        request.deadline_ms = request.start_ms + wait_ms
        self.budget(request.service).note(request.start_ms)

    def admit(self, request, snapshot):
        """Finds the tenant whose key the request bears; the key is withheld and `Tenant` set. False
        without a needed key.
        """
        request.checked_for = snapshot.serial
        route = request.route
        request.priority, request.homes = route.priority, (route.homes,) if route.homes else ()
        if snapshot.keys is None:
            return True
        tenant = request.tenant = snapshot.keys.tenant(request.credentials)
        request.headers = [
            row for row in request.headers if row[0].lower() not in (b"authorization", b"tenant")
        ]
        if tenant is None:
            return route.public
        request.headers.append((b"Tenant", tenant.header))
        if tenant.priority is not None:
            request.priority = tenant.priority
        if tenant.homes:
            request.homes += (tenant.homes,)
        return True

    def partner_route(self, request, snapshot):
        """The partner's route for a request: what partners decline to pass on depends on where it
        came and whose it is.
        """
        settings = self.context.settings
        tenant = snapshot.keys.tenant(request.credentials) if snapshot.keys is not None else None
        return snapshot.partner_route(
            request.host,
            request.path,
            settings.zone,
            settings.region,
            tenant.name if tenant else "",
        )

    def may_offer(self, request):
        """Looks again, at the moment of offering, whether a request may still go where it is about
        to go.
        """
        snapshot = self.snapshot
        if request.route.partner is not None:
            if request.checked_for != snapshot.serial:
                route = snapshot.route(request.host, request.path) or self.partner_route(
                    request, snapshot
                )
                if (
                    route is None
                    or route.partner is None
                    or (route.partner.partner, route.partner.prefix)
                    != (request.route.partner.partner, request.route.partner.prefix)
                    or request.service not in route.partner.services
                ):
                    self.own(
                        request, 502 if request.ran else 404, "the partner's route was withheld"
                    )
                    return False
                request.route = route
            if not self.lease.is_held(self.context.now_ms()):
                self.give_back(request, "partner routes wait for word from the core")
                return False
        if request.checked_for != snapshot.serial and not self.admit(request, snapshot):
            self.own(request, 502 if request.ran else 401, "its key was taken away")
            return False
        return True

    def may_use(self, target):
        """Looks again, at the moment of writing, whether the endpoint's software version may still
        be used.
        """
        return self.chooser.may_use(target, self.snapshot, self.context.now_ms())

    def tally(self, request, target, failed):
        """Counts what became of a request at an endpoint, for a rollout and for steering."""
        if failed and self.chooser.steering is not None and request.sent_ms:
            now_ms = self.context.now_ms()
            self.chooser.steering.failed(
                target.service,
                target.region,
                self.chooser.work_ms(request.route),
                now_ms - request.sent_ms,
                now_ms,
            )
        rollout = self.snapshot.rollouts.get(target.service) if self.snapshot.rollouts else None
        if rollout is not None:
            if self.outcomes is None:
                from stagevale.rollouts.outcomes import Outcomes

                self.outcomes = Outcomes()
            late = self.context.now_ms() - request.start_ms > request.route.target_ms
            self.outcomes.count(rollout, target.software, target.zone, failed, late)

    def budget(self, service):
        budget = self.budgets.get(service)
        if budget is None:
            budget = self.budgets[service] = Budget(self.context.settings.bounds, self.born_ms)
        return budget

    def begin(self, request):
        """Starts a request that has been read: a timer for its deadline, then the first offer."""
        request.begun = True
        self.running += 1
        request.timer = self.context.call_later(
            max(1.0, request.deadline_ms - self.context.now_ms()), self.cut_off, request
        )
        if request.note is not None:
            self.sessions.start(request)
        else:
            self.offer(request)

    def offer(self, request):
        """Sends a request to the best endpoint, has it wait for one, or refuses it while refusing
        still is early.
        """
        now_ms = self.context.now_ms()
        if not self.may_offer(request):
            return
        target = self.chooser.choose(request, self.snapshot, now_ms)
        if (
            target is not None
            and now_ms + request.expected_ms * 0.5 > request.deadline_ms
            and not request.offered
        ):
            target = None
        if target is None:
            patience_ms = (
                request.start_ms + request.held_ms + request.route.target_ms * REFUSE_SHARE - now_ms
            )
            if patience_ms <= 0 or request.tries > 0:
                self.give_back(request, "no endpoint can take it")
                return
            queue = self.waiting.setdefault(request.service, [])
            queue.append(request)
            queue.sort(key=lambda waiting: (waiting.priority, waiting.start_ms))
            self.context.call_later(patience_ms + 1, self.tired, request)
            return
        self.offer_to(request, target, now_ms)

    def offer_to(self, request, target, now_ms):
        """Puts a request on a connection to this endpoint, an idle one where there is one."""
        request.offered = True
        request.tries += 1
        request.was_queued = target.load(now_ms) >= target.slots
        target.took(now_ms)
        if now_ms < target.cold_until_ms:
            target.cold_sent.append(now_ms)
        if target.idle:
            connection = target.idle.pop()
            request.carriers.append(connection)
            connection.send(request)
        else:
            connection = self.make_connection(self, target)
            request.carriers.append(connection)
            connection.open(request)

    def hedge(self, request, target, sent_ms):
        """A repeatable request whose endpoint has been silent for long is sent to a second one
        beside it.
        """
        now_ms = self.context.now_ms()
        if (
            request.answer is not None
            or not request.carriers
            or request.tries >= request.route.max_attempts
            or target.answered_ms > sent_ms
            or request.route.partner is not None
            or now_ms + self.chooser.work_ms(request.route) * 0.7 > request.deadline_ms
        ):
            return
        if not self.budget(request.service).allows(now_ms, len(self.snapshot.proxies)):
            return
        request.tried += (target.id,)
        second = self.chooser.choose(request, self.snapshot, now_ms)
        if second is not None and second.load(now_ms) < second.slots:
            self.offer_to(request, second, now_ms)

    def tired(self, request):
        """A request that no endpoint could take within its patience is refused."""
        queue = self.waiting.get(request.service)
        if queue and request in queue:
            queue.remove(request)
            self.give_back(request, "no endpoint free in time")

    def pump(self, service):
        """An endpoint of this service has room: the next waiting request is offered."""
        queue = self.waiting.get(service)
        if queue:
            self.offer(queue.pop(0))

    def pump_all(self):
        """After a change of the snapshot every waiting request is looked at again."""
        for service, queue in list(self.waiting.items()):
            self.waiting[service] = []
            for request in queue:
                self.offer(request)

    def sent(self, request, target):
        """The request's bytes go out now."""
        request.sent_ms = self.context.now_ms()
        if (
            self.counts is not None
            and request.tenant is not None
            and request.window is None
            and not request.route.cacheable
        ):
            request.window = self.counts.count(
                request.tenant.name, request.sent_ms + self.chooser.way_ms(target)
            )
        flow = self.flows.setdefault((request.route.name, request.service), {})
        if request.tries > 1:
            self.budget(request.service).spend(request.sent_ms)
            flow["again"] = flow.get("again", 0) + 1
        else:
            flow[target.zone] = flow.get(target.zone, 0) + 1
            if request.route.pure and request.route.max_attempts > 1:
                wait_ms = max(
                    request.expected_ms * HEDGE_EXPECTED, request.route.target_ms * HEDGE_SHARE
                )
                self.context.call_later(wait_ms, self.hedge, request, target, request.sent_ms)

    def release(self, request, target):
        target.gave(self.context.now_ms())
        request.carriers = [
            connection for connection in request.carriers if connection.target is not target
        ]
        self.context.call_soon(self.pump, target.service)

    def unoffered(self, request, target):
        """The request was answered at the last moment before its first byte would have gone out."""
        self.release(request, target)

    def not_sent(self, request, target, failure):
        """Nothing of the request was written: it may go elsewhere whatever its kind."""
        self.release(request, target)
        now_ms = self.context.now_ms()
        if failure is not None:
            self.tally(request, target, True)
            service = self.snapshot.services.get(target.service)
            target.failed(
                now_ms,
                self.context.settings.bounds.contact_ms / 8.0,
                service.warmup_ms if service else 0,
                True,
            )
        request.tries -= 1
        request.tried += (target.id,)
        if request.answer is not None or request.carriers:
            return
        if len(request.tried) > 4:
            self.give_back(request, "no endpoint can be reached")
            return
        self.offer(request)

    def broken(self, request, target, why, silent):
        """The connection broke under the request: it may have run."""
        self.release(request, target)
        self.tally(request, target, True)
        now_ms = self.context.now_ms()
        target.failed(now_ms, self.context.settings.bounds.contact_ms / 10.0, 0, False)
        if request.answer is not None:
            self.unheard(request, KeyState.UNKNOWN)
            return
        request.ran = True
        if request.carriers:
            return
        if request.route.pure and self.again(request, target, now_ms):
            return
        self.context.log.debug("forwarder: %s at %s: %s.", request.route.name, target.address, why)
        self.own(request, 502, "the endpoint's answer broke off")

    def again(self, request, target, now_ms):
        """Offers a request once more, where its route, the budget and its time allow."""
        request.tried += (target.id,)
        if (
            request.tries >= request.route.max_attempts
            or now_ms + self.chooser.work_ms(request.route) * 0.5 > request.deadline_ms
        ):
            return False
        if not self.budget(request.service).allows(now_ms, len(self.snapshot.proxies)):
            return False
        if self.chooser.choose(request, self.snapshot, now_ms) is None:
            return False
        self.offer(request)
        return True

    def answered(self, request, target, answer):
        """A whole answer has come for the request."""
        self.release(request, target)
        now_ms = self.context.now_ms()
        load = answer.fields.get(b"server-load")
        if load:
            numbers = load.split(b",")
            if len(numbers) == 3 and all(number.strip().isdigit() for number in numbers):
                target.told(int(numbers[0]), int(numbers[1]), now_ms)
        status = answer.status
        not_run = b"not-run" in answer.fields or status == 421
        if request.answer is not None:
            if not_run or b"server-seal" not in answer.fields and 200 <= status < 300:
                self.unheard(request, KeyState.NOT_RUN if not_run else KeyState.UNKNOWN)
            else:
                self.unheard(
                    request, KeyState.ANSWERED, (status, answer.reason, answer.headers, answer.body)
                )
            return
        target.answered_ms = now_ms
        if request.carriers and (not_run or status >= 500):
            request.ran = request.ran or not not_run
            if status == 421:
                target.gone = True
            return
        if not_run:
            if request.window is not None and not request.ran:
                self.counts.undo(request.window, request.tenant.name)
                request.window = None
            if status == 421:
                target.gone = True
            elif status == 503:
                target.others = max(target.others, target.slots * 3.0)
                target.others_ms = now_ms
            if self.again(request, target, now_ms):
                return
            self.give_back(request, "endpoints turned it away")
            return
        request.ran = True
        self.tally(
            request,
            target,
            status >= 500 or 200 <= status < 300 and b"server-seal" not in answer.fields,
        )
        if 200 <= status < 300:
            if b"server-seal" not in answer.fields or b"content-encoding" in answer.fields:
                target.failed(now_ms, 0, 0, False)
                if request.carriers:
                    return
                if request.route.pure and self.again(request, target, now_ms):
                    return
                self.own(request, 502, "not the endpoint's own answer")
                return
            target.served()
            if request.session is not None:
                self.sessions.pin(request.session, request.service, target.id)
            if self.counts is not None and request.tenant is not None and request.route.cacheable:
                self.counts.count(request.tenant.name, now_ms)
            if self.chooser.steering is not None:
                self.chooser.steering.answered(
                    target.service,
                    target.region,
                    self.chooser.work_ms(request.route),
                    now_ms - request.sent_ms,
                    request.expected_ms,
                    now_ms,
                )
            self.chooser.learn(request.route, target, now_ms - request.sent_ms, request.was_queued)
            self.chooser.weigh(request.route, len(request.body) + len(answer.body))
        elif status >= 500 and request.route.pure and self.again(request, target, now_ms):
            return
        elif status in (408, 429, 503):
            self.own(request, 502, "the endpoint failed")
            return
        request.whole = True
        self.finish(request, (status, answer.reason, answer.headers, answer.body))

    def take_flows(self):
        """What went where since the last call: rows of route, service, kind, work, bytes and counts
        by zone.
        """
        flows, self.flows = self.flows, {}
        routes = {route.name: route for rows in self.snapshot.hosts.values() for _, route in rows}
        return [
            [
                name,
                service,
                routes[name].pure,
                int(self.chooser.work_ms(routes[name])),
                int(self.chooser.bytes.get(name, 0)),
                counts,
            ]
            for (name, service), counts in flows.items()
            if name in routes
        ]

    def give_back(self, request, why):
        """Ends a request that no endpoint has run: the promise of a 503, or 502 where it may have
        run.
        """
        if request.ran:
            self.own(request, 502, why)
        else:
            self.own(request, 503, why, self.context.now_ms())

    def own(self, request, status, why, refuse_ms=None):
        """An answer of our own."""
        headers = [("Content-Type", "text/plain")]
        if request.attempt_id:
            headers.append((b"Attempt-Id", request.attempt_id))
        if refuse_ms is not None:
            target_ms = (
                request.route.target_ms
                if request.route
                else self.context.settings.bounds.contact_ms
            )
            wait_ms = target_ms * RETRY_SHARE * self.context.random.uniform(0.8, 1.6)
            headers.append(("Retry-After", f"{wait_ms / 1000.0:.3f}"))
        self.finish(request, (status, b"", headers, why.encode()))

    def cut_off(self, request):
        """The request's time is over: its endpoint, if any, is no longer waited for."""
        if request.answer is not None:
            self.drop(request)
            self.unheard(request, KeyState.UNKNOWN if request.offered else KeyState.NOT_RUN)
            return
        if request.note is not None and not request.offered:
            first = request.note.first
            self.own(
                request,
                *(
                    (409, "this key is at work")
                    if first is not None and first.offered
                    else (503, "its key can't be noted in time", self.context.now_ms())
                ),
            )
            return
        queue = self.waiting.get(request.service)
        if queue and request in queue:
            queue.remove(request)
            self.give_back(request, "no endpoint free in time")
            return
        self.drop(request)
        if request.offered:
            self.own(request, 504, "no answer in time")
        else:
            self.give_back(request, "no endpoint in time")

    def drop(self, request):
        """Takes a request off the endpoints' connections that carry it."""
        carriers, request.carriers = request.carriers, []
        for carrier in carriers:
            if carrier.request is request:
                if request.answer is None and request.deadline_ms <= self.context.now_ms() + 1:
                    self.tally(request, carrier.target, True)
                carrier.give_up()
                carrier.target.outstanding -= 1
                self.context.call_soon(self.pump, carrier.target.service)

    def abandon(self, request):
        """The client has gone: a repeatable request ends; another ends too while nothing of it was
        written, else it runs on and its answer is dropped.
        """
        if request.answer is not None:
            return
        request.answer = (None, b"", (), b"")
        if not request.begun:
            return
        queue = self.waiting.get(request.service)
        if queue and request in queue:
            queue.remove(request)
        unwritten = request.note is None and all(c.transport is None for c in request.carriers)
        ends = request.route.pure or unwritten
        if request.timer is not None and ends:
            request.timer.cancel()
        self.running -= 1
        if ends:
            self.drop(request)

    def unheard(self, request, state, answer=None):
        """A noted request whose client has gone came to its end: the record says what became
        of it.
        """
        if request.note is not None:
            self.sessions.finish_unanswered(request, state, answer)

    def finish(self, request, answer):
        """Sets the request's answer and has its connection write what is due; a noted request's end
        is noted first.
        """
        if request.answer is not None:
            return
        if (
            request.note is not None
            and not request.note.recorded
            and self.sessions.is_live(request)
        ):
            self.sessions.settle(request, answer, lambda ending: self.finish(request, ending))
            return
        request.answer = answer
        if request.timer is not None and not request.carriers:
            request.timer.cancel()
        if request.begun:
            self.running -= 1
            request.connection.flush()
