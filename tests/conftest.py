pytest_plugins = [
    "tests.fixtures_standins",
    "tests.fixtures_cli",
    "tests.fixtures_traffic",
    "tests.fixtures_world",
]
