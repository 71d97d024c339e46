pytest_plugins = ["tests.fixtures_standins"]
