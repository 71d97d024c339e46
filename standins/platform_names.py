"""Names of the users' platform that the soak's callers and operator write."""

TEAM_HEADER = "Tenant"
TEAMS_FIELD = "tenants"
