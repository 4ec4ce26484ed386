"""How copies meet: changes are pushed as they are made, and every so often one member is asked for what is
missing.

Without I/O. `actions` has `send(member, words)` and `alarm(at, what)`; `members()` gives the names of those
that are there, `counted()` of those whose having seen a tombstone matters. A message that is lost, doubled,
late or out of order costs time, never a difference that stays.
"""

PUSH, ASK, ANSWER = "push", "store?", "store"


class Sync:
    """`every`: ms between two questions; `gather`: ms that fresh changes wait for others to go with them;
    `patience`: ms for all parts of an answer; `most_parts`: of answers that are put together at a time."""

    def __init__(
        self,
        actions,
        rng,
        replica,
        members,
        counted,
        *,
        every,
        gather,
        patience,
        most_parts=4096,
    ):
        self.actions, self.replica = actions, replica
        self.uniform, self.choice = rng.uniform, rng.choice
        self.members, self.counted = members, counted
        self.every, self.gather, self.patience, self.most_parts = (
            every,
            gather,
            patience,
            most_parts,
        )
        self.number = 0
        self.waiting = (
            None  # [number, member, {place: cells}, until] of the question that is out
        )
        self.due = False

    def start(self, now):
        self.actions.alarm(now + self.uniform(0.0, self.every), "ask")

    def changed(self, now):
        """Something was written here."""
        if not self.due and self.replica.fresh:
            self.due = True
            self.actions.alarm(now + self.gather, "push")

    def on_alarm(self, now, what):
        if what == "push":
            self.due = False
            self.push(now)
        elif what == "ask":
            self.actions.alarm(now + self.every * self.uniform(0.75, 1.25), "ask")
            self.ask(now)
            self.replica.collect(self.counted())

    def others(self):
        return [name for name in self.members() if name != self.replica.name]

    def push(self, now):
        if not self.replica.fresh:
            return
        first, last, cells = self.replica.take_fresh()
        for member in self.others():
            self.actions.send(
                member, [PUSH, self.replica.id, first, last, self.replica.seen, cells]
            )

    def ask(self, now, member=None):
        others = self.others()
        if self.waiting is not None and now < self.waiting[3] or not others:
            return
        self.number += 1
        member = member or self.choice(others)
        self.waiting = [self.number, member, {}, now + self.patience]
        self.actions.send(member, [ASK, self.number, self.replica.seen])

    def on_message(self, now, member, words):
        """From `member`; ValueError where the words are not of the protocol."""
        kind, *rest = words
        if kind == PUSH:
            replica, first, last, vector, cells = rest
            if not self.replica.behind(vector):
                self.replica.pushed(replica, first, last, cells, now)
        elif kind == ASK:
            number, vector = rest
            whole, chunks, *told = self.replica.answer(member, vector)
            for place, cells in enumerate(chunks):
                self.actions.send(
                    member, [ANSWER, number, place, len(chunks), whole, *told, cells]
                )
        elif kind == ANSWER:
            self.on_answer(now, member, *rest)
        else:
            raise ValueError(f"{kind!r} is no kind of message")

    def on_answer(
        self, now, member, number, place, count, whole, seen, collected, floor, cells
    ):
        if self.waiting is None or self.waiting[:2] != [number, member]:
            return
        if not 0 <= place < count <= self.most_parts:
            return
        parts = self.waiting[2]
        parts[place] = cells
        if len(parts) == count:
            self.waiting = None
            cells = [cell for place in range(count) for cell in parts[place]]
            self.replica.answered(whole, cells, seen, collected, floor, now)
            self.replica.note(member, seen)
