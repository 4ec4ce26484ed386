"""What is true of instances that know one another, taken from outside: who runs, who stands still, who can reach
whom. What each believes is asked, to be judged against that."""

VIEW_MS = 250.0  # how often each instance is asked what it believes


def parts_of(names, zone_of):
    """(zone, the names in it) each, in the order of zones."""
    found = {}
    for name in names:
        found.setdefault(zone_of[name], []).append(name)
    return sorted(found.items())


class Outside:
    """A part of a world whose `ways` join its instances. A seat has `running`, `paused` and `ask`."""

    def starting(self):
        """name -> ms of its own that each process has had which doesn't listen yet, so that it can't know anything."""
        return {}

    def truth(self):
        """Who runs, who of these stands still or doesn't listen yet, and which pairs of them can't reach each other."""
        running = [name for name, seat in self.seats.items() if seat.running]
        return {
            "running": running,
            "paused": [name for name in running if self.seats[name].paused],
            "starting": self.starting(),
            "cut": [
                f"{one} {other}"
                for place, one in enumerate(running)
                for other in running[place + 1 :]
                if not self.ways.reaches(one, other)
            ],
        }

    def believes(self, seat, found):
        self.record.note(
            "believes",
            proxy=seat.name,
            name=found["name"],
            alone=found["alone"],
            dropped=found["links"]["dropped"],
            state=found["state"],
            digest=found["digest"],
            fleet=found["fleet"],
            share=found["share"],
            differs=len(found["differs"]),
            **{
                key: found[key]
                for key in ("region_state", "fleet_state")
                if key in found
            },
            members={member["name"]: member["state"] for member in found["members"]},
        )

    def watch(self):
        self.clock.after(VIEW_MS, self.watch)
        self.record.note("truth", **self.truth())
        for seat in self.seats.values():
            seat.ask()

    def datagrams_s(self, names, seconds):
        """Sent by each of these, a second."""
        return round(
            sum(self.ways.sent[name] for name in names) / max(1, len(names)) / seconds,
            2,
        )
