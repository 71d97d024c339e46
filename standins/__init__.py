"""Small fakes of the systems that azurestep talks to, for tests and measurements."""
