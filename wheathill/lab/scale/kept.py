"""What a tool found, kept as JSON where it is asked to."""

import json


def keep(found, path):
    """Nothing where `path` is None."""
    if path:
        with open(path, "w") as out:
            json.dump(found, out, indent=2)
            out.write("\n")
