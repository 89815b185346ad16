"""Encoding of accepted jobs in the store."""

from __future__ import annotations

import cattrs
import orjson

from jujubebend import decoding
from jujubebend_cluster import compression, jobspec

_CONVERTER = cattrs.Converter(omit_if_default=True)
_RECORD_ERRORS = (*decoding.DECODE_ERRORS, cattrs.BaseValidationError)


def encode_job(spec: jobspec.JobSpec) -> bytes:
    """Encode a job as its record in the store."""
    return compression.compress(orjson.dumps(_CONVERTER.unstructure(spec)))


def decode_job(body: bytes) -> jobspec.JobSpec:
    """Decode a record written by ``encode_job``.

    Raises ``InvalidInputError`` if it is damaged.
    """
    try:
        document = orjson.loads(compression.decompress(body))
        return _CONVERTER.structure(document, jobspec.JobSpec)
    except _RECORD_ERRORS as exc:
        raise decoding.damaged_record('job', exc) from exc
