"""Guards against retries that amplify an overload."""

from oriolelock.admission import retry_budget


def test_retries_are_a_tenth_of_first_attempts():
    budget = retry_budget.RetryBudget()
    granted = 0
    for n in range(10_000):
        budget.record_first_attempt("s", n * 0.001)
        granted += budget.try_retry("s", n * 0.001)
    assert 990 <= granted <= 1010


def test_idle_service_may_retry_but_does_not_accumulate_a_burst():
    budget = retry_budget.RetryBudget()
    while budget.try_retry("s", 0.0):
        pass
    assert budget.try_retry("s", 2.0)
    assert sum(budget.try_retry("s", 3600.0) for _ in range(100)) == 2


def test_one_service_does_not_use_up_the_retries_of_another():
    budget = retry_budget.RetryBudget()
    while budget.try_retry("a", 0.0):
        pass
    assert budget.try_retry("b", 0.0)
