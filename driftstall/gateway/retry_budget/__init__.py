"""Retry budgets per service, shared by all instances (docs/design/retry-budget.md)."""
