"""CPU time and memory of processes, from /proc."""

import os

TICKS_PER_SECOND = os.sysconf("SC_CLK_TCK")


def cpu_seconds(pid):
    with open(f"/proc/{pid}/stat") as file:
        fields = file.read().rsplit(")", 1)[1].split()
    return (int(fields[11]) + int(fields[12])) / TICKS_PER_SECOND


def resident_bytes(pid):
    with open(f"/proc/{pid}/statm") as file:
        return int(file.read().split()[1]) * os.sysconf("SC_PAGE_SIZE")
