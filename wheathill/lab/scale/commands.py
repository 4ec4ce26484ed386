"""The commands of `wheathill lab scale`."""

from wheathill.lab.scale.data_commands import data, table, walks

COMMANDS = {"data": data, "table": table, "walks": walks}
