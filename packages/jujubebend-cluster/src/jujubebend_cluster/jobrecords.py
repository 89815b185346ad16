"""Accepted jobs as the store keeps them."""

from __future__ import annotations

import cattrs
import orjson

from jujubebend_cluster import jobspec

_CONVERTER = cattrs.Converter(omit_if_default=True)


def encode_job(spec: jobspec.JobSpec) -> bytes:
    """Return a job's record."""
    return orjson.dumps(_CONVERTER.unstructure(spec))


def decode_job(body: bytes) -> jobspec.JobSpec:
    """Read what ``encode_job`` wrote."""
    return _CONVERTER.structure(orjson.loads(body), jobspec.JobSpec)
