"""What the system says of a process from outside."""

import os


def scheduled_s(pid):
    """(processor time, time that it could have run and waited for a core) of all its threads, seconds, to the
    nanosecond (/proc/PID/task/*/schedstat)."""
    ran = waited = 0
    for task in os.listdir(f"/proc/{pid}/task"):
        with open(f"/proc/{pid}/task/{task}/schedstat") as stat:
            fields = stat.read().split()
        ran, waited = ran + int(fields[0]), waited + int(fields[1])
    return ran / 1e9, waited / 1e9


def memory_kb(pid):
    """(resident, proportional) set, KB (/proc/PID/smaps_rollup)."""
    found = {}
    with open(f"/proc/{pid}/smaps_rollup") as rollup:
        for line in rollup:
            name, _, value = line.partition(":")
            if name in ("Rss", "Pss"):
                found[name] = int(value.split()[0])
    return found["Rss"], found["Pss"]


def descriptors(pid):
    return len(os.listdir(f"/proc/{pid}/fd"))
