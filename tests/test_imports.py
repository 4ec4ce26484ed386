"""The package's imports, read from its text: at module level, within functions and under `if` alike. No two modules
import each other, by whatever way round, and no module imports from a layer above its own."""

import ast
import pathlib
import tomllib

ROOT = pathlib.Path(__file__).parent.parent
# From the bottom up; the longest name that fits counts, so that a new module of a package is in that package's layer.
LAYERS = (
    ("wheathill.bounded_name", "wheathill.log_events", "wheathill.model"),
    ("wheathill.policy", "wheathill.config"),
    # State machines, told of what happens: no sockets, no loop.
    (
        "wheathill.net.admin",
        "wheathill.net.client",
        "wheathill.net.discovery",
        "wheathill.net.errors",
        "wheathill.net.fault_isolation",
        "wheathill.net.graceful_shutdown",
        "wheathill.net.line_buffer",
        "wheathill.net.listed_state",
        "wheathill.net.load_report",
        "wheathill.net.maintenance_store",
        "wheathill.net.metrics",
        "wheathill.net.protocol_error_log",
        "wheathill.net.protocol_machine",
        "wheathill.net.interfaces",
        "wheathill.net.open_request",
        "wheathill.net.proxy",
        "wheathill.net.server",
        "wheathill.net.server_lines",
        "wheathill.net.session_handling",
        "wheathill.net.session_ids",
        "wheathill.net.update_handling",
        "wheathill.peers.replicated_table",
        "wheathill.peers.server_records",
        "wheathill.peers.table_records",
        "wheathill.peers.drain_registry",
        "wheathill.peers.derived_config",
        "wheathill.peers.environment",
        "wheathill.peers.event_log",
        "wheathill.peers.fleet_limits",
        "wheathill.peers.cluster_view",
        "wheathill.peers.connections",
        "wheathill.peers.frames",
        "wheathill.peers.sender_rate_limiter",
        "wheathill.peers.transport_metrics",
        "wheathill.peers.member_rotation",
        "wheathill.peers.membership",
        "wheathill.peers.health_exchange",
        "wheathill.peers.messages",
        "wheathill.peers.peer_health_reports",
        "wheathill.peers.server_updates",
        "wheathill.peers.start_registry",
        "wheathill.peers.view_comparison",
        "wheathill.peers.zones",
        "wheathill.store.anti_entropy",
        "wheathill.store.delta_buffer",
        "wheathill.store.entries",
        "wheathill.store.entry_decoding",
        "wheathill.store.entry_key",
        "wheathill.store.entry_table",
        "wheathill.store.errors",
        "wheathill.store.eviction",
        "wheathill.store.exchange",
        "wheathill.store.full_state",
        "wheathill.store.leases",
        "wheathill.store.local_writes",
        "wheathill.store.merging",
        "wheathill.store.messages",
        "wheathill.store.replica",
        "wheathill.store.replica_state",
        "wheathill.store.set_element",
        "wheathill.store.snapshot",
        "wheathill.store.tombstones",
        "wheathill.store.value_entries",
        "wheathill.store.version_vector",
        "wheathill.handover.errors",
        "wheathill.handover.interfaces",
        "wheathill.handover.messages",
        "wheathill.handover.records",
        "wheathill.handover.restore",
        "wheathill.handover.server_codec",
        "wheathill.handover.session_codec",
        "wheathill.handover.snapshot",
        "wheathill.handover.state_codec",
        "wheathill.handover.state_receiver",
        "wheathill.handover.validation",
    ),
    (
        "wheathill.net",
        "wheathill.drill",
        "wheathill.simulator",
        "wheathill.peers",
        "wheathill.peers.zones.service",
        "wheathill.peers.zones.status",
        "wheathill.store",
        "wheathill.handover",
    ),
    ("wheathill.daemon",),
    ("wheathill", "wheathill.cli", "wheathill.__main__"),
    ("wheathill.lab",),
)
# The command line offers the lab's commands, and imports them once one is called.
OFFERED = {
    ("wheathill.cli", f"wheathill.lab.{name}")
    for name in ("tools.experiments", "tools.sites", "scale.commands")
}


def modules(root):
    """name -> text."""
    found = {}
    for path in sorted((root / "wheathill").rglob("*.py")):
        parts = path.relative_to(root).with_suffix("").parts
        found[".".join(parts[:-1] if parts[-1] == "__init__" else parts)] = (
            path.read_text()
        )
    return found


def imports(texts):
    """(importer, imported) -> whether a function has to be called for it."""
    arrows = {}
    for name, text in texts.items():
        for node, late in statements(ast.parse(text), False):
            if isinstance(node, ast.Import):
                named = [alias.name for alias in node.names]
            else:
                assert node.level == 0, f"{name}: a relative import"
                named = [f"{node.module}.{alias.name}" for alias in node.names]
            for other in named:
                # What is imported from a module may be a module, or a name in it.
                while other and other not in texts:
                    other = other.rpartition(".")[0]
                if other and other != name:
                    arrows[name, other] = late and arrows.get((name, other), True)
    return arrows


def statements(node, late):
    """(import statement, whether it is within a function)."""
    for child in ast.iter_child_nodes(node):
        if isinstance(child, (ast.Import, ast.ImportFrom)):
            yield child, late
        yield from statements(
            child,
            late
            or isinstance(child, (ast.FunctionDef, ast.AsyncFunctionDef, ast.Lambda)),
        )


def cycles(arrows):
    """Groups of modules each of which reaches all others of its group."""
    reached = {name: None for pair in arrows for name in pair}
    for name in reached:
        seen, ahead = set(), [name]
        while ahead:
            here = ahead.pop()
            for one, other in arrows:
                if one == here and other not in seen:
                    seen.add(other)
                    ahead.append(other)
        reached[name] = seen
    return sorted(
        {
            tuple(sorted(other for other in seen if name in reached[other]))
            for name, seen in reached.items()
            if name in seen
        }
    )


def layer(name):
    fits = [
        (len(prefix), place)
        for place, within in enumerate(LAYERS)
        for prefix in within
        if name == prefix or name.startswith(prefix + ".")
    ]
    return max(fits)[1]


def upward(arrows):
    return sorted(
        f"{one} -> {other}"
        for (one, other), late in arrows.items()
        if layer(other) > layer(one) and not (late and (one, other) in OFFERED)
    )


def test_no_module_imports_itself_by_way_of_others():
    assert cycles(imports(modules(ROOT))) == []


def test_no_import_points_up():
    assert upward(imports(modules(ROOT))) == []


def test_names_of_layers_are_modules():
    there = modules(ROOT)
    assert [name for within in LAYERS for name in within if name not in there] == []


def test_every_package_is_installed():
    listed = tomllib.loads((ROOT / "pyproject.toml").read_text())["tool"]["setuptools"]
    packages = [path.parent for path in (ROOT / "wheathill").rglob("__init__.py")]
    names = [".".join(path.relative_to(ROOT).parts) for path in packages]
    assert sorted(listed["packages"]) == sorted(names)


def test_faults_are_found():
    texts = {
        "wheathill": "",
        "wheathill.net": "",
        "wheathill.daemon": "",
        "wheathill.model": "if True:\n    from wheathill import policy",
        "wheathill.policy": "def f():\n    def g():\n        from wheathill.model import Phase",
        "wheathill.net.line_buffer": "import wheathill.net.transport as transport",
        "wheathill.net.transport": "class A:\n    import json, wheathill.daemon",
        "wheathill.cli": "from wheathill.lab.tools.experiments import run",
        "wheathill.lab.tools.experiments": "from wheathill import net",
    }
    arrows = imports(texts)
    assert cycles(arrows) == [("wheathill.model", "wheathill.policy")]
    assert upward(arrows) == [
        "wheathill.cli -> wheathill.lab.tools.experiments",
        "wheathill.model -> wheathill.policy",
        "wheathill.net.line_buffer -> wheathill.net.transport",
        "wheathill.net.transport -> wheathill.daemon",
    ]
    arrows = imports(
        {
            **texts,
            "wheathill.cli": "def f():\n    import wheathill.lab.tools.experiments",
        }
    )
    assert not any("cli" in arrow for arrow in upward(arrows))
