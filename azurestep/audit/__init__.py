"""The audit trail: what changed, where and when, kept on the platform's log."""
