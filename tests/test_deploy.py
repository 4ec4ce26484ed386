"""The deploy file names what is shipped: the platform refuses a folder under `policy`."""

import pathlib
import tomllib

ROOT = pathlib.Path(__file__).parent.parent
DEPLOY = tomllib.loads((ROOT / "deploy" / "balancer.toml").read_text())


def test_policy_names_each_file_of_the_package() -> None:
    package = ROOT / "wheathill" / "policy"
    files = sorted(
        str(path.relative_to(ROOT))
        for path in package.rglob("*")
        if path.is_file() and "__pycache__" not in path.parts
    )
    assert sorted(DEPLOY["policy"]) == files


def test_node_names_files_and_folders_that_are_there() -> None:
    assert [path for path in DEPLOY["node"] if not (ROOT / path).exists()] == []
