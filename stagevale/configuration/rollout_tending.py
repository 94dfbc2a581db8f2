"""The leader's care for rollouts: it judges their steps, advances them or has them fall back."""

import json

from stagevale.membership.state import UP


class RolloutTending:
    """Judges rollouts by what proxies tell; made with the first rollout."""

    __slots__ = ("node", "judge", "due")

    def __init__(self, node):
        self.node = node
        self.judge = None
        self.due = False

    def judgement(self):
        """The judgement of rollouts."""
        if self.judge is None:
            from stagevale.rollouts.judging import Judge

            settings = self.node.context.settings
            self.judge = Judge(settings.bounds, settings.tolerance)
        return self.judge

    def take(self, payload):
        """Takes in what proxies tell of their outcomes."""
        self.judgement().take(json.loads(payload), self.node.context.now_ms())

    def advance(self):
        """Starts the change that is due; True where one is under way."""
        if not self.due:
            return False
        self.due = False
        node = self.node
        value = node.chosen
        from stagevale.rollouts.judging import tend

        proxies = [member.address for member in node.membership.members("proxy", (UP,))]
        tended = tend(self.judgement(), value, proxies, node.context.now_ms())
        if tended is None:
            return False
        after, withdrawn = tended
        node.context.log.info("%s: rollouts: %s.", node.prefix, changes_shown(value, after))

        def accepted(chosen):
            if chosen and withdrawn:
                node.leases.narrowed()
            node.orders.pump()

        node.accept(after, accepted)
        return True

    def shown(self):
        """All rollouts, their step's outcomes, and for how long leases on what was withdrawn may
        still stand, as JSON.
        """
        from stagevale.rollouts import ENDED, FALLEN, Rollout

        rows = []
        for service in sorted(self.node.chosen.rollouts):
            rollout = Rollout(json.loads(self.node.chosen.rollouts[service]))
            if rollout.state == ENDED:
                continue
            left_ms = self.node.leases.left_ms() - 1 if rollout.state == FALLEN else 0
            rows.append(
                {
                    **rollout.row(),
                    "share": rollout.share,
                    "leasesLeftMs": left_ms,
                    "shown": "falling back" if left_ms > 0 else rollout.state,
                    "outcomes": self.judgement().show(rollout),
                }
            )
        return json.dumps({"rollouts": rows})


def changes_shown(before, after):
    """The rollouts that differ between two values, for the log."""
    changed = {
        service: json.loads(text)
        for service, text in after.rollouts.items()
        if text != before.rollouts.get(service)
    }
    return ", ".join(
        f"{service} is {row['state']} at step {row['step'] + 1}" for service, row in changed.items()
    )
