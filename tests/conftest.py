pytest_plugins = ["tests.fixtures_fold", "tests.fixtures_standins"]
