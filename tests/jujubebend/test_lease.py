"""The lease of a worker: one owner at a time, increasing epochs."""

from __future__ import annotations

import pytest

from jujubebend import lease


def test_other_holder_waits_until_expiry():
    grantor = lease.Grantor()
    first = grantor.acquire('one', ttl=10, now=0)
    assert grantor.acquire('two', ttl=10, now=9.9) is None
    second = grantor.acquire('two', ttl=10, now=10)
    assert second.epoch > first.epoch


def test_old_epoch_is_refused_after_takeover():
    grantor = lease.Grantor()
    first = grantor.acquire('one', ttl=10, now=0)
    grantor.acquire('two', ttl=10, now=11)
    with pytest.raises(lease.StaleEpochError):
        grantor.check_epoch(first.epoch, now=12)
    with pytest.raises(lease.StaleEpochError):
        grantor.renew(first.epoch, ttl=10, now=12)


def test_expired_lease_is_refused_without_another_holder():
    grantor = lease.Grantor()
    grant = grantor.acquire('one', ttl=10, now=0)
    with pytest.raises(lease.StaleEpochError):
        grantor.check_epoch(grant.epoch, now=10)


def test_same_holder_gets_a_new_epoch():
    grantor = lease.Grantor()
    first = grantor.acquire('one', ttl=10, now=0)
    second = grantor.acquire('one', ttl=10, now=1)
    assert second.epoch == first.epoch + 1


def test_release_under_an_old_epoch_has_no_effect():
    grantor = lease.Grantor()
    first = grantor.acquire('one', ttl=10, now=0)
    second = grantor.acquire('two', ttl=10, now=10)
    grantor.release(first.epoch, now=11)
    grantor.check_epoch(second.epoch, now=11)


def test_held_lease_expires_no_later_than_the_grant():
    held_lease = lease.HeldLease(1, 'boot', expires_at=9)
    held_lease.record_renewal(sent_at=5, ttl=10)
    assert held_lease.is_held(14.9)
    assert not held_lease.is_held(15)
