"""The commands of `wheathill lab scale`."""

from wheathill.lab.scale.data_commands import data, table

COMMANDS = {"data": data, "table": table}
