"""Encoding of accepted jobs in the store."""

from __future__ import annotations

import cattrs
import orjson

from jujubebend_cluster import compression, jobspec

_CONVERTER = cattrs.Converter(omit_if_default=True)


def encode_job(spec: jobspec.JobSpec) -> bytes:
    """Encode a job as its record in the store."""
    return compression.compress(orjson.dumps(_CONVERTER.unstructure(spec)))


def decode_job(body: bytes) -> jobspec.JobSpec:
    """Decode a record written by ``encode_job``."""
    document = orjson.loads(compression.decompress(body))
    return _CONVERTER.structure(document, jobspec.JobSpec)
