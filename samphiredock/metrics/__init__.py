"""Counters and histograms, by OpenTelemetry."""

from samphiredock.metrics._counts import Metrics

__all__ = ['Metrics']
