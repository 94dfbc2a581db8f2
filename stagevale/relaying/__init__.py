"""The way of a job: read, routed, offered to an endpoint, answered."""
from stagevale.affinity import ANSWERED, FREE, UNKNOWN
from stagevale.balancing import Chooser
from stagevale.balancing.budget import Budget
from stagevale.balancing.digest import empty_digest
from stagevale.leases import Lease

SHED_SHARE = 0.2
RETRY_SHARE = 0.12
HEDGE_EXPECTED = 2.5
HEDGE_SHARE = 0.4


class Job:
    """One job of a client, from its last byte until its answer."""

    __slots__ = ("stream", "parser", "method", "target", "host", "path", "headers", "body", "attempt_id", "deadline_ms",
                 "start_ms", "cutoff_ms", "route", "service", "tries", "tried", "answer", "closes", "begun", "carriers",
                 "timer", "offered", "sent_ms", "was_queued", "expected_ms", "ran", "credentials", "tenant", "priority",
                 "homes", "checked_for", "window", "session", "note", "prefers", "whole", "held_ms")

    def __init__(self, stream, parser, request, body, start_ms):
        self.stream = stream
        self.parser = parser
        self.method = request.method if request else b""
        self.target = request.target if request else b""
        self.headers = list(request.headers.raw_items()) if request else []
        self.body = body
        self.start_ms = start_ms
        self.cutoff_ms = start_ms
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
        self.deadline_ms = None
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
        """What a rollout's share is drawn by: the session where there is one, else the try's own id."""
        return self.session.encode("latin-1") if self.session else self.attempt_id or b""


class Relay:
    """Carries jobs between clients' streams and endpoints' streams."""

    __slots__ = ("context", "digest", "chooser", "budgets", "waiting", "streams", "leaving", "running",
                 "hop_headers", "make_stream", "born_ms", "flows", "counts", "lease", "holdings",
                 "outcomes")

    def __init__(self, context, address, make_stream, hop_headers):
        self.context = context
        self.digest = empty_digest()
        self.chooser = Chooser(context, address)
        self.budgets = {}
        self.waiting = {}
        self.flows = {}
        self.streams = set()
        self.leaving = False
        self.born_ms = context.now_ms()
        self.running = 0
        self.counts = None
        self.holdings = None
        self.lease = self.chooser.lease = Lease(context.settings.bounds)
        self.outcomes = None
        self.make_stream = make_stream
        self.hop_headers = hop_headers | {b"deadline-ms", b"expect-instance", b"expect"}

    def read(self, job):
        """Finds what a job asks for; one that can't go on gets its answer here."""
        host, named = b"", set()
        kept = []
        for name, value in job.headers:
            lower = name.lower()
            if lower == b"connection":
                named.update(token.strip().lower() for token in value.split(b","))
            elif lower == b"host":
                host = value
            elif lower == b"attempt-id":
                job.attempt_id = value
            elif lower == b"deadline-ms":
                job.deadline_ms = float(value) if value.isdigit() else None
            elif lower == b"authorization":
                job.credentials = value if job.credentials is None else b""
        named.discard(b"close")
        named -= {b"host", b"attempt-id"}
        for name, value in job.headers:
            lower = name.lower()
            if lower not in self.hop_headers and lower not in named:
                kept.append((name, value))
        job.headers = kept
        job.host = host.decode("latin-1").rpartition(":")[0].lower() if b":" in host else host.decode("latin-1").lower()
        job.path = job.target.decode("latin-1").partition("?")[0]
        digest = self.digest
        if not job.path.startswith("/"):
            self.own(job, 400, "the target must be a path")
            return
        if not digest.hosts:
            self.own(job, 503, "no configuration yet", job.start_ms)
            return
        job.route = digest.route(job.host, job.path)
        if job.route is None and digest.partners.rows:
            job.route = self.partner_route(job, digest)
        if job.route is None:
            self.own(job, 404, "no route")
            return
        if job.attempt_id is None:
            self.own(job, 400, "no Attempt-Id")
            return
        if not self.admit(job, digest):
            self.own(job, 401, "no key that is known")
            return
        job.service = job.route.service(self.context.random)
        if job.route.affinity is not None and self.holdings is not None:
            wrong = self.holdings.read(job)
            if wrong:
                self.own(job, 400, wrong)
                return
        wait_ms = job.route.timeout_ms if job.deadline_ms is None else min(job.deadline_ms, job.route.timeout_ms)
        job.cutoff_ms = job.start_ms + wait_ms
        self.budget(job.service).note(job.start_ms)

    def admit(self, job, digest):
        """Finds the tenant whose key the job bears; the key is withheld and `Tenant` set. False without a needed key."""
        job.checked_for = digest.serial
        route = job.route
        job.priority, job.homes = route.priority, (route.homes,) if route.homes else ()
        if digest.keys is None:
            return True
        tenant = job.tenant = digest.keys.tenant(job.credentials)
        job.headers = [row for row in job.headers if row[0].lower() not in (b"authorization", b"tenant")]
        if tenant is None:
            return route.public
        job.headers.append((b"Tenant", tenant.header))
        if tenant.priority is not None:
            job.priority = tenant.priority
        if tenant.homes:
            job.homes += (tenant.homes,)
        return True

    def partner_route(self, job, digest):
        """The partner's route for a job: what partners decline to pass on depends on where it came and whose it is."""
        settings = self.context.settings
        tenant = digest.keys.tenant(job.credentials) if digest.keys is not None else None
        return digest.partner_route(job.host, job.path, settings.area, settings.region, tenant.name if tenant else "")

    def may_offer(self, job):
        """Looks again, at the moment of offering, whether a job may still go where it is about to go."""
        digest = self.digest
        if job.route.partner is not None:
            if job.checked_for != digest.serial:
                route = digest.route(job.host, job.path) or self.partner_route(job, digest)
                if route is None or route.partner is None or (route.partner.partner, route.partner.prefix) != \
                        (job.route.partner.partner, job.route.partner.prefix) or job.service not in route.partner.services:
                    self.own(job, 502 if job.ran else 404, "the partner's route was withheld")
                    return False
                job.route = route
            if not self.lease.holds(self.context.now_ms()):
                self.give_back(job, "partner routes wait for word from the core")
                return False
        if job.checked_for != digest.serial and not self.admit(job, digest):
            self.own(job, 502 if job.ran else 401, "its key was taken away")
            return False
        return True

    def may_use(self, target):
        """Looks again, at the moment of writing, whether the endpoint's software version may still be used."""
        return self.chooser.may_use(target, self.digest, self.context.now_ms())

    def tally(self, job, target, failed):
        """Counts what became of a request at an endpoint, for a rollout and for steering."""
        if failed and self.chooser.steering is not None and job.sent_ms:
            now_ms = self.context.now_ms()
            self.chooser.steering.failed(target.service, target.region, self.chooser.work_ms(job.route),
                                         now_ms - job.sent_ms, now_ms)
        rollout = self.digest.rollouts.get(target.service) if self.digest.rollouts else None
        if rollout is not None:
            if self.outcomes is None:
                from stagevale.rollouts import Outcomes
                self.outcomes = Outcomes()
            late = self.context.now_ms() - job.start_ms > job.route.target_ms
            self.outcomes.count(rollout, target.software, target.area, failed, late)

    def budget(self, service):
        budget = self.budgets.get(service)
        if budget is None:
            budget = self.budgets[service] = Budget(self.context.settings.bounds, self.born_ms)
        return budget

    def begin(self, job):
        """Starts a job that has been read: a timer for its cutoff, then the first offer."""
        job.begun = True
        self.running += 1
        job.timer = self.context.after(max(1.0, job.cutoff_ms - self.context.now_ms()), self.cut_off, job)
        if job.note is not None:
            self.holdings.carry(job)
        else:
            self.offer(job)

    def offer(self, job):
        """Sends a job to the best endpoint, has it wait for one, or sheds it while shedding still is early."""
        now_ms = self.context.now_ms()
        if not self.may_offer(job):
            return
        target = self.chooser.choose(job, self.digest, now_ms)
        if target is not None and now_ms + job.expected_ms * 0.5 > job.cutoff_ms and not job.offered:
            target = None
        if target is None:
            patience_ms = job.start_ms + job.held_ms + job.route.target_ms * SHED_SHARE - now_ms
            if patience_ms <= 0 or job.tries > 0:
                self.give_back(job, "no endpoint can take it")
                return
            queue = self.waiting.setdefault(job.service, [])
            queue.append(job)
            queue.sort(key=lambda waiting: (waiting.priority, waiting.start_ms))
            self.context.after(patience_ms + 1, self.tired, job)
            return
        self.offer_to(job, target, now_ms)

    def offer_to(self, job, target, now_ms):
        """Puts a job on a stream to this endpoint, an idle one where there is one."""
        job.offered = True
        job.tries += 1
        job.was_queued = target.load(now_ms) >= target.slots
        target.took(now_ms)
        if now_ms < target.cold_until_ms:
            target.cold_sent.append(now_ms)
        if target.idle:
            stream = target.idle.pop()
            job.carriers.append(stream)
            stream.send(job)
        else:
            stream = self.make_stream(self, target)
            job.carriers.append(stream)
            stream.open(job)

    def hedge(self, job, target, sent_ms):
        """A repeatable job whose endpoint has been silent for long is sent to a second one beside it."""
        now_ms = self.context.now_ms()
        if (job.answer is not None or not job.carriers or job.tries >= job.route.max_attempts
                or target.answered_ms > sent_ms or job.route.partner is not None or now_ms + self.chooser.work_ms(job.route) * 0.7 > job.cutoff_ms):
            return
        if not self.budget(job.service).allows(now_ms, len(self.digest.proxies)):
            return
        job.tried += (target.id,)
        second = self.chooser.choose(job, self.digest, now_ms)
        if second is not None and second.load(now_ms) < second.slots:
            self.offer_to(job, second, now_ms)

    def tired(self, job):
        """A job that no endpoint could take within its patience is shed."""
        queue = self.waiting.get(job.service)
        if queue and job in queue:
            queue.remove(job)
            self.give_back(job, "no endpoint free in time")

    def pump(self, service):
        """An endpoint of this service has room: the next waiting job is offered."""
        queue = self.waiting.get(service)
        if queue:
            self.offer(queue.pop(0))

    def pump_all(self):
        """After a change of the digest every waiting job is looked at again."""
        for service, queue in list(self.waiting.items()):
            self.waiting[service] = []
            for job in queue:
                self.offer(job)

    def sent(self, job, target):
        """The job's bytes go out now."""
        job.sent_ms = self.context.now_ms()
        if self.counts is not None and job.tenant is not None and job.window is None and not job.route.cacheable:
            job.window = self.counts.began(job.tenant.name, job.sent_ms + self.chooser.way_ms(target))
        flow = self.flows.setdefault((job.route.name, job.service), {})
        if job.tries > 1:
            self.budget(job.service).spend(job.sent_ms)
            flow["again"] = flow.get("again", 0) + 1
        else:
            flow[target.area] = flow.get(target.area, 0) + 1
            if job.route.pure and job.route.max_attempts > 1:
                wait_ms = max(job.expected_ms * HEDGE_EXPECTED, job.route.target_ms * HEDGE_SHARE)
                self.context.after(wait_ms, self.hedge, job, target, job.sent_ms)

    def release(self, job, target):
        target.gave(self.context.now_ms())
        job.carriers = [stream for stream in job.carriers if stream.target is not target]
        self.context.soon(self.pump, target.service)

    def unoffered(self, job, target):
        """The job was answered at the last moment before its first byte would have gone out."""
        self.release(job, target)

    def not_sent(self, job, target, problem):
        """Nothing of the job was written: it may go elsewhere whatever its kind."""
        self.release(job, target)
        now_ms = self.context.now_ms()
        if problem is not None:
            self.tally(job, target, True)
            service = self.digest.services.get(target.service)
            target.failed(now_ms, self.context.settings.bounds.contact_ms / 8.0,
                          service.warmup_ms if service else 0, True)
        job.tries -= 1
        job.tried += (target.id,)
        if job.answer is not None or job.carriers:
            return
        if len(job.tried) > 4:
            self.give_back(job, "no endpoint can be reached")
            return
        self.offer(job)

    def broken(self, job, target, why, silent):
        """The stream broke under the job: it may have run."""
        self.release(job, target)
        self.tally(job, target, True)
        now_ms = self.context.now_ms()
        target.failed(now_ms, self.context.settings.bounds.contact_ms / 10.0, 0, False)
        if job.answer is not None:
            self.unheard(job, UNKNOWN)
            return
        job.ran = True
        if job.carriers:
            return
        if job.route.pure and self.again(job, target, now_ms):
            return
        self.context.log.debug("relay: %s at %s: %s.", job.route.name, target.address, why)
        self.own(job, 502, "the endpoint's answer broke off")

    def again(self, job, target, now_ms):
        """Offers a job once more, where its route, the budget and its time allow."""
        job.tried += (target.id,)
        if job.tries >= job.route.max_attempts or now_ms + self.chooser.work_ms(job.route) * 0.5 > job.cutoff_ms:
            return False
        if not self.budget(job.service).allows(now_ms, len(self.digest.proxies)):
            return False
        if self.chooser.choose(job, self.digest, now_ms) is None:
            return False
        self.offer(job)
        return True

    def answered(self, job, target, answer):
        """A whole answer has come for the job."""
        self.release(job, target)
        now_ms = self.context.now_ms()
        load = answer.fields.get(b"server-load")
        if load:
            numbers = load.split(b",")
            if len(numbers) == 3 and all(number.strip().isdigit() for number in numbers):
                target.told(int(numbers[0]), int(numbers[1]), now_ms)
        status = answer.status
        not_run = b"not-run" in answer.fields or status == 421
        if job.answer is not None:
            if not_run or b"server-seal" not in answer.fields and 200 <= status < 300:
                self.unheard(job, FREE if not_run else UNKNOWN)
            else:
                self.unheard(job, ANSWERED, (status, answer.reason, answer.headers, answer.body))
            return
        target.answered_ms = now_ms
        if job.carriers and (not_run or status >= 500):
            job.ran = job.ran or not not_run
            if status == 421:
                target.gone = True
            return
        if not_run:
            if job.window is not None and not job.ran:
                self.counts.undo(job.window, job.tenant.name)
                job.window = None
            if status == 421:
                target.gone = True
            elif status == 503:
                target.others = max(target.others, target.slots * 3.0)
                target.others_ms = now_ms
            if self.again(job, target, now_ms):
                return
            self.give_back(job, "endpoints turned it away")
            return
        job.ran = True
        self.tally(job, target, status >= 500 or 200 <= status < 300 and b"server-seal" not in answer.fields)
        if 200 <= status < 300:
            if b"server-seal" not in answer.fields or b"content-encoding" in answer.fields:
                target.failed(now_ms, 0, 0, False)
                if job.carriers:
                    return
                if job.route.pure and self.again(job, target, now_ms):
                    return
                self.own(job, 502, "not the endpoint's own answer")
                return
            target.served()
            if job.session is not None:
                self.holdings.pin(job.session, job.service, target.id)
            if self.counts is not None and job.tenant is not None and job.route.cacheable:
                self.counts.began(job.tenant.name, now_ms)
            if self.chooser.steering is not None:
                self.chooser.steering.answered(target.service, target.region, self.chooser.work_ms(job.route),
                                               now_ms - job.sent_ms, job.expected_ms, now_ms)
            self.chooser.learn(job.route, target, now_ms - job.sent_ms, job.was_queued)
            self.chooser.weigh(job.route, len(job.body) + len(answer.body))
        elif status >= 500 and job.route.pure and self.again(job, target, now_ms):
            return
        elif status in (408, 429, 503):
            self.own(job, 502, "the endpoint failed")
            return
        job.whole = True
        self.finish(job, (status, answer.reason, answer.headers, answer.body))

    def take_flows(self):
        """What went where since the last call: rows of route, service, kind, work, bytes and counts by area."""
        flows, self.flows = self.flows, {}
        routes = {route.name: route for rows in self.digest.hosts.values() for _, route in rows}
        return [[name, service, routes[name].pure, int(self.chooser.work_ms(routes[name])),
                 int(self.chooser.bytes.get(name, 0)), counts]
                for (name, service), counts in flows.items() if name in routes]

    def give_back(self, job, why):
        """Ends a job that no endpoint has run: the promise of a 503, or 502 where it may have run."""
        if job.ran:
            self.own(job, 502, why)
        else:
            self.own(job, 503, why, self.context.now_ms())

    def own(self, job, status, why, shed_ms=None):
        """An answer of our own."""
        headers = [("Content-Type", "text/plain")]
        if job.attempt_id:
            headers.append((b"Attempt-Id", job.attempt_id))
        if shed_ms is not None:
            target_ms = job.route.target_ms if job.route else self.context.settings.bounds.contact_ms
            wait_ms = target_ms * RETRY_SHARE * self.context.random.uniform(0.8, 1.6)
            headers.append(("Retry-After", f"{wait_ms / 1000.0:.3f}"))
        self.finish(job, (status, b"", headers, why.encode()))

    def cut_off(self, job):
        """The job's time is over: its endpoint, if any, is no longer waited for."""
        if job.answer is not None:
            self.drop(job)
            self.unheard(job, UNKNOWN if job.offered else FREE)
            return
        if job.note is not None and not job.offered:
            first = job.note.first
            self.own(job, *((409, "this key is at work") if first is not None and first.offered
                            else (503, "its key can't be noted in time", self.context.now_ms())))
            return
        queue = self.waiting.get(job.service)
        if queue and job in queue:
            queue.remove(job)
            self.give_back(job, "no endpoint free in time")
            return
        self.drop(job)
        if job.offered:
            self.own(job, 504, "no answer in time")
        else:
            self.give_back(job, "no endpoint in time")

    def drop(self, job):
        """Takes a job off the endpoints' streams that carry it."""
        carriers, job.carriers = job.carriers, []
        for carrier in carriers:
            if carrier.job is job:
                if job.answer is None and job.cutoff_ms <= self.context.now_ms() + 1:
                    self.tally(job, carrier.target, True)
                carrier.give_up()
                carrier.target.outstanding -= 1
                self.context.soon(self.pump, carrier.target.service)

    def abandon(self, job):
        """The client has gone: a repeatable job ends, another runs on and its answer is dropped."""
        if job.answer is not None:
            return
        job.answer = (None, b"", (), b"")
        if not job.begun:
            return
        queue = self.waiting.get(job.service)
        if queue and job in queue:
            queue.remove(job)
        if job.timer is not None and (job.route.pure or not job.carriers):
            job.timer.cancel()
        self.running -= 1
        if job.route.pure:
            self.drop(job)

    def unheard(self, job, state, answer=None):
        """A noted job whose client has gone came to its end: the record says what became of it."""
        if job.note is not None:
            self.holdings.conclude(job, state, answer)

    def finish(self, job, answer):
        """Sets the job's answer and has its stream write what is due; a noted job's end is noted first."""
        if job.answer is not None:
            return
        if job.note is not None and not job.note.settled and self.holdings.live.get(
                (job.note.session, job.note.key)) is job:
            self.holdings.settle(job, answer, lambda ending: self.finish(job, ending))
            return
        job.answer = answer
        if job.timer is not None and not job.carriers:
            job.timer.cancel()
        if job.begun:
            self.running -= 1
            job.stream.flush()
