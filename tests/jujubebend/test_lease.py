"""The lease of a worker: one owner at a time, increasing epochs."""

from __future__ import annotations

import pytest

from jujubebend import lease


def test_other_holder_waits_until_expiry():
    referee = lease.Referee()
    first = referee.acquire('one', ttl=10, now=0)
    assert referee.acquire('two', ttl=10, now=9.9) is None
    second = referee.acquire('two', ttl=10, now=10)
    assert second.epoch > first.epoch


def test_old_epoch_is_refused_after_takeover():
    referee = lease.Referee()
    first = referee.acquire('one', ttl=10, now=0)
    referee.acquire('two', ttl=10, now=11)
    with pytest.raises(lease.StaleEpochError):
        referee.check(first.epoch, now=12)
    with pytest.raises(lease.StaleEpochError):
        referee.renew(first.epoch, ttl=10, now=12)


def test_expired_lease_is_refused_without_another_holder():
    referee = lease.Referee()
    grant = referee.acquire('one', ttl=10, now=0)
    with pytest.raises(lease.StaleEpochError):
        referee.check(grant.epoch, now=10)


def test_same_holder_gets_a_new_epoch():
    referee = lease.Referee()
    first = referee.acquire('one', ttl=10, now=0)
    second = referee.acquire('one', ttl=10, now=1)
    assert second.epoch == first.epoch + 1


def test_release_under_an_old_epoch_has_no_effect():
    referee = lease.Referee()
    first = referee.acquire('one', ttl=10, now=0)
    second = referee.acquire('two', ttl=10, now=10)
    referee.release(first.epoch, now=11)
    referee.check(second.epoch, now=11)


def test_holding_ends_no_later_than_the_grant():
    holding = lease.Holding(1, 'boot', expires=9)
    holding.renewed(sent=5, ttl=10)
    assert holding.is_held(14.9)
    assert not holding.is_held(15)
