"""The way of a job: read, routed, offered to an endpoint, answered."""
from stagevale.affinity import ANSWERED, FREE, UNKNOWN
from stagevale.balancing import Chooser
from stagevale.balancing.budget import Budget
from stagevale.balancing.digest import emptyDigest
from stagevale.leases import Lease

SHED_SHARE = 0.2
RETRY_SHARE = 0.12
HEDGE_EXPECTED = 2.5
HEDGE_SHARE = 0.4


class Job:
    """One job of a client, from its last byte until its answer."""

    __slots__ = ("stream", "parser", "method", "target", "host", "path", "headers", "body", "attemptId", "deadlineMs",
                 "startMs", "cutoffMs", "route", "service", "tries", "tried", "answer", "closes", "begun", "carriers",
                 "timer", "offered", "sentMs", "wasQueued", "expectedMs", "ran", "credentials", "tenant", "priority",
                 "homes", "checkedFor", "window", "session", "note", "prefers", "whole", "heldMs")

    def __init__(self, stream, parser, request, body, startMs):
        self.stream = stream
        self.parser = parser
        self.method = request.method if request else b""
        self.target = request.target if request else b""
        self.headers = list(request.headers.raw_items()) if request else []
        self.body = body
        self.startMs = startMs
        self.cutoffMs = startMs
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
        self.sentMs = 0.0
        self.wasQueued = False
        self.expectedMs = None
        self.ran = False
        self.attemptId = None
        self.deadlineMs = None
        self.host = self.path = ""
        self.credentials = None
        self.tenant = None
        self.priority = 0
        self.homes = ()
        self.checkedFor = None
        self.window = None
        self.session = None
        self.note = None
        self.prefers = None
        self.whole = False
        self.heldMs = 0.0

    def splitKey(self):
        """What a rollout's share is drawn by: the session where there is one, else the try's own id."""
        return self.session.encode("latin-1") if self.session else self.attemptId or b""


class Relay:
    """Carries jobs between clients' streams and endpoints' streams."""

    __slots__ = ("context", "digest", "chooser", "budgets", "waiting", "streams", "leaving", "running",
                 "hopHeaders", "makeStream", "bornMs", "flows", "counts", "lease", "holdings",
                 "outcomes")

    def __init__(self, context, address, makeStream, hopHeaders):
        self.context = context
        self.digest = emptyDigest()
        self.chooser = Chooser(context, address)
        self.budgets = {}
        self.waiting = {}
        self.flows = {}
        self.streams = set()
        self.leaving = False
        self.bornMs = context.nowMs()
        self.running = 0
        self.counts = None
        self.holdings = None
        self.lease = self.chooser.lease = Lease(context.settings.bounds)
        self.outcomes = None
        self.makeStream = makeStream
        self.hopHeaders = hopHeaders | {b"deadline-ms", b"expect-instance", b"expect"}

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
                job.attemptId = value
            elif lower == b"deadline-ms":
                job.deadlineMs = float(value) if value.isdigit() else None
            elif lower == b"authorization":
                job.credentials = value if job.credentials is None else b""
        named.discard(b"close")
        named -= {b"host", b"attempt-id"}
        for name, value in job.headers:
            lower = name.lower()
            if lower not in self.hopHeaders and lower not in named:
                kept.append((name, value))
        job.headers = kept
        job.host = host.decode("latin-1").rpartition(":")[0].lower() if b":" in host else host.decode("latin-1").lower()
        job.path = job.target.decode("latin-1").partition("?")[0]
        digest = self.digest
        if not job.path.startswith("/"):
            self.own(job, 400, "the target must be a path")
            return
        if not digest.hosts:
            self.own(job, 503, "no configuration yet", job.startMs)
            return
        job.route = digest.route(job.host, job.path)
        if job.route is None and digest.partners.rows:
            job.route = self.partnerRoute(job, digest)
        if job.route is None:
            self.own(job, 404, "no route")
            return
        if job.attemptId is None:
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
        waitMs = job.route.timeoutMs if job.deadlineMs is None else min(job.deadlineMs, job.route.timeoutMs)
        job.cutoffMs = job.startMs + waitMs
        self.budget(job.service).note(job.startMs)

    def admit(self, job, digest):
        """Finds the tenant whose key the job bears; the key is withheld and `Tenant` set. False without a needed key."""
        job.checkedFor = digest.serial
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

    def partnerRoute(self, job, digest):
        """The partner's route for a job: what partners decline to pass on depends on where it came and whose it is."""
        settings = self.context.settings
        tenant = digest.keys.tenant(job.credentials) if digest.keys is not None else None
        return digest.partnerRoute(job.host, job.path, settings.area, settings.region, tenant.name if tenant else "")

    def mayOffer(self, job):
        """Looks again, at the moment of offering, whether a job may still go where it is about to go."""
        digest = self.digest
        if job.route.partner is not None:
            if job.checkedFor != digest.serial:
                route = digest.route(job.host, job.path) or self.partnerRoute(job, digest)
                if route is None or route.partner is None or (route.partner.partner, route.partner.prefix) != \
                        (job.route.partner.partner, job.route.partner.prefix) or job.service not in route.partner.services:
                    self.own(job, 502 if job.ran else 404, "the partner's route was withheld")
                    return False
                job.route = route
            if not self.lease.holds(self.context.nowMs()):
                self.giveBack(job, "partner routes wait for word from the core")
                return False
        if job.checkedFor != digest.serial and not self.admit(job, digest):
            self.own(job, 502 if job.ran else 401, "its key was taken away")
            return False
        return True

    def mayUse(self, target):
        """Looks again, at the moment of writing, whether the endpoint's software version may still be used."""
        return self.chooser.mayUse(target, self.digest, self.context.nowMs())

    def tally(self, job, target, failed):
        """Counts what became of a request at an endpoint, for a rollout and for steering."""
        if failed and self.chooser.steering is not None and job.sentMs:
            nowMs = self.context.nowMs()
            self.chooser.steering.failed(target.service, target.region, self.chooser.workMs(job.route),
                                         nowMs - job.sentMs, nowMs)
        rollout = self.digest.rollouts.get(target.service) if self.digest.rollouts else None
        if rollout is not None:
            if self.outcomes is None:
                from stagevale.rollouts import Outcomes
                self.outcomes = Outcomes()
            late = self.context.nowMs() - job.startMs > job.route.targetMs
            self.outcomes.count(rollout, target.software, target.area, failed, late)

    def budget(self, service):
        budget = self.budgets.get(service)
        if budget is None:
            budget = self.budgets[service] = Budget(self.context.settings.bounds, self.bornMs)
        return budget

    def begin(self, job):
        """Starts a job that has been read: a timer for its cutoff, then the first offer."""
        job.begun = True
        self.running += 1
        job.timer = self.context.after(max(1.0, job.cutoffMs - self.context.nowMs()), self.cutOff, job)
        if job.note is not None:
            self.holdings.carry(job)
        else:
            self.offer(job)

    def offer(self, job):
        """Sends a job to the best endpoint, has it wait for one, or sheds it while shedding still is early."""
        nowMs = self.context.nowMs()
        if not self.mayOffer(job):
            return
        target = self.chooser.choose(job, self.digest, nowMs)
        if target is not None and nowMs + job.expectedMs * 0.5 > job.cutoffMs and not job.offered:
            target = None
        if target is None:
            patienceMs = job.startMs + job.heldMs + job.route.targetMs * SHED_SHARE - nowMs
            if patienceMs <= 0 or job.tries > 0:
                self.giveBack(job, "no endpoint can take it")
                return
            queue = self.waiting.setdefault(job.service, [])
            queue.append(job)
            queue.sort(key=lambda waiting: (waiting.priority, waiting.startMs))
            self.context.after(patienceMs + 1, self.tired, job)
            return
        self.offerTo(job, target, nowMs)

    def offerTo(self, job, target, nowMs):
        """Puts a job on a stream to this endpoint, an idle one where there is one."""
        job.offered = True
        job.tries += 1
        job.wasQueued = target.load(nowMs) >= target.slots
        target.took(nowMs)
        if nowMs < target.coldUntilMs:
            target.coldSent.append(nowMs)
        if target.idle:
            stream = target.idle.pop()
            job.carriers.append(stream)
            stream.send(job)
        else:
            stream = self.makeStream(self, target)
            job.carriers.append(stream)
            stream.open(job)

    def hedge(self, job, target, sentMs):
        """A repeatable job whose endpoint has been silent for long is sent to a second one beside it."""
        nowMs = self.context.nowMs()
        if (job.answer is not None or not job.carriers or job.tries >= job.route.maxAttempts
                or target.answeredMs > sentMs or job.route.partner is not None or nowMs + self.chooser.workMs(job.route) * 0.7 > job.cutoffMs):
            return
        if not self.budget(job.service).allows(nowMs, len(self.digest.proxies)):
            return
        job.tried += (target.id,)
        second = self.chooser.choose(job, self.digest, nowMs)
        if second is not None and second.load(nowMs) < second.slots:
            self.offerTo(job, second, nowMs)

    def tired(self, job):
        """A job that no endpoint could take within its patience is shed."""
        queue = self.waiting.get(job.service)
        if queue and job in queue:
            queue.remove(job)
            self.giveBack(job, "no endpoint free in time")

    def pump(self, service):
        """An endpoint of this service has room: the next waiting job is offered."""
        queue = self.waiting.get(service)
        if queue:
            self.offer(queue.pop(0))

    def pumpAll(self):
        """After a change of the digest every waiting job is looked at again."""
        for service, queue in list(self.waiting.items()):
            self.waiting[service] = []
            for job in queue:
                self.offer(job)

    def sent(self, job, target):
        """The job's bytes go out now."""
        job.sentMs = self.context.nowMs()
        if self.counts is not None and job.tenant is not None and job.window is None and not job.route.cacheable:
            job.window = self.counts.began(job.tenant.name, job.sentMs + self.chooser.wayMs(target))
        flow = self.flows.setdefault((job.route.name, job.service), {})
        if job.tries > 1:
            self.budget(job.service).spend(job.sentMs)
            flow["again"] = flow.get("again", 0) + 1
        else:
            flow[target.area] = flow.get(target.area, 0) + 1
            if job.route.pure and job.route.maxAttempts > 1:
                waitMs = max(job.expectedMs * HEDGE_EXPECTED, job.route.targetMs * HEDGE_SHARE)
                self.context.after(waitMs, self.hedge, job, target, job.sentMs)

    def release(self, job, target):
        target.gave(self.context.nowMs())
        job.carriers = [stream for stream in job.carriers if stream.target is not target]
        self.context.soon(self.pump, target.service)

    def unoffered(self, job, target):
        """The job was answered at the last moment before its first byte would have gone out."""
        self.release(job, target)

    def notSent(self, job, target, problem):
        """Nothing of the job was written: it may go elsewhere whatever its kind."""
        self.release(job, target)
        nowMs = self.context.nowMs()
        if problem is not None:
            self.tally(job, target, True)
            service = self.digest.services.get(target.service)
            target.failed(nowMs, self.context.settings.bounds.contactMs / 8.0,
                          service.warmupMs if service else 0, True)
        job.tries -= 1
        job.tried += (target.id,)
        if job.answer is not None or job.carriers:
            return
        if len(job.tried) > 4:
            self.giveBack(job, "no endpoint can be reached")
            return
        self.offer(job)

    def broken(self, job, target, why, silent):
        """The stream broke under the job: it may have run."""
        self.release(job, target)
        self.tally(job, target, True)
        nowMs = self.context.nowMs()
        target.failed(nowMs, self.context.settings.bounds.contactMs / 10.0, 0, False)
        if job.answer is not None:
            self.unheard(job, UNKNOWN)
            return
        job.ran = True
        if job.carriers:
            return
        if job.route.pure and self.again(job, target, nowMs):
            return
        self.context.log.debug("relay: %s at %s: %s.", job.route.name, target.address, why)
        self.own(job, 502, "the endpoint's answer broke off")

    def again(self, job, target, nowMs):
        """Offers a job once more, where its route, the budget and its time allow."""
        job.tried += (target.id,)
        if job.tries >= job.route.maxAttempts or nowMs + self.chooser.workMs(job.route) * 0.5 > job.cutoffMs:
            return False
        if not self.budget(job.service).allows(nowMs, len(self.digest.proxies)):
            return False
        if self.chooser.choose(job, self.digest, nowMs) is None:
            return False
        self.offer(job)
        return True

    def answered(self, job, target, answer):
        """A whole answer has come for the job."""
        self.release(job, target)
        nowMs = self.context.nowMs()
        load = answer.fields.get(b"server-load")
        if load:
            numbers = load.split(b",")
            if len(numbers) == 3 and all(number.strip().isdigit() for number in numbers):
                target.told(int(numbers[0]), int(numbers[1]), nowMs)
        status = answer.status
        notRun = b"not-run" in answer.fields or status == 421
        if job.answer is not None:
            if notRun or b"server-seal" not in answer.fields and 200 <= status < 300:
                self.unheard(job, FREE if notRun else UNKNOWN)
            else:
                self.unheard(job, ANSWERED, (status, answer.reason, answer.headers, answer.body))
            return
        target.answeredMs = nowMs
        if job.carriers and (notRun or status >= 500):
            job.ran = job.ran or not notRun
            if status == 421:
                target.gone = True
            return
        if notRun:
            if job.window is not None and not job.ran:
                self.counts.undo(job.window, job.tenant.name)
                job.window = None
            if status == 421:
                target.gone = True
            elif status == 503:
                target.others = max(target.others, target.slots * 3.0)
                target.othersMs = nowMs
            if self.again(job, target, nowMs):
                return
            self.giveBack(job, "endpoints turned it away")
            return
        job.ran = True
        self.tally(job, target, status >= 500 or 200 <= status < 300 and b"server-seal" not in answer.fields)
        if 200 <= status < 300:
            if b"server-seal" not in answer.fields or b"content-encoding" in answer.fields:
                target.failed(nowMs, 0, 0, False)
                if job.carriers:
                    return
                if job.route.pure and self.again(job, target, nowMs):
                    return
                self.own(job, 502, "not the endpoint's own answer")
                return
            target.served()
            if job.session is not None:
                self.holdings.pin(job.session, job.service, target.id)
            if self.counts is not None and job.tenant is not None and job.route.cacheable:
                self.counts.began(job.tenant.name, nowMs)
            if self.chooser.steering is not None:
                self.chooser.steering.answered(target.service, target.region, self.chooser.workMs(job.route),
                                               nowMs - job.sentMs, job.expectedMs, nowMs)
            self.chooser.learn(job.route, target, nowMs - job.sentMs, job.wasQueued)
            self.chooser.weigh(job.route, len(job.body) + len(answer.body))
        elif status >= 500 and job.route.pure and self.again(job, target, nowMs):
            return
        elif status in (408, 429, 503):
            self.own(job, 502, "the endpoint failed")
            return
        job.whole = True
        self.finish(job, (status, answer.reason, answer.headers, answer.body))

    def takeFlows(self):
        """What went where since the last call: rows of route, service, kind, work, bytes and counts by area."""
        flows, self.flows = self.flows, {}
        routes = {route.name: route for rows in self.digest.hosts.values() for _, route in rows}
        return [[name, service, routes[name].pure, int(self.chooser.workMs(routes[name])),
                 int(self.chooser.bytes.get(name, 0)), counts]
                for (name, service), counts in flows.items() if name in routes]

    def giveBack(self, job, why):
        """Ends a job that no endpoint has run: the promise of a 503, or 502 where it may have run."""
        if job.ran:
            self.own(job, 502, why)
        else:
            self.own(job, 503, why, self.context.nowMs())

    def own(self, job, status, why, shedMs=None):
        """An answer of our own."""
        headers = [("Content-Type", "text/plain")]
        if job.attemptId:
            headers.append((b"Attempt-Id", job.attemptId))
        if shedMs is not None:
            targetMs = job.route.targetMs if job.route else self.context.settings.bounds.contactMs
            waitMs = targetMs * RETRY_SHARE * self.context.random.uniform(0.8, 1.6)
            headers.append(("Retry-After", f"{waitMs / 1000.0:.3f}"))
        self.finish(job, (status, b"", headers, why.encode()))

    def cutOff(self, job):
        """The job's time is over: its endpoint, if any, is no longer waited for."""
        if job.answer is not None:
            self.drop(job)
            self.unheard(job, UNKNOWN if job.offered else FREE)
            return
        if job.note is not None and not job.offered:
            first = job.note.first
            self.own(job, *((409, "this key is at work") if first is not None and first.offered
                            else (503, "its key can't be noted in time", self.context.nowMs())))
            return
        queue = self.waiting.get(job.service)
        if queue and job in queue:
            queue.remove(job)
            self.giveBack(job, "no endpoint free in time")
            return
        self.drop(job)
        if job.offered:
            self.own(job, 504, "no answer in time")
        else:
            self.giveBack(job, "no endpoint in time")

    def drop(self, job):
        """Takes a job off the endpoints' streams that carry it."""
        carriers, job.carriers = job.carriers, []
        for carrier in carriers:
            if carrier.job is job:
                if job.answer is None and job.cutoffMs <= self.context.nowMs() + 1:
                    self.tally(job, carrier.target, True)
                carrier.giveUp()
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
