import subprocess
import sys
import unittest

from samphiredock import metrics
from samphiredock.metrics import _counts


class MetricsTest(unittest.TestCase):
    """Metrics collected before the OpenTelemetry libraries are loaded."""

    def setUp(self) -> None:
        self.metrics = metrics.Metrics('test')
        self.addCleanup(self.metrics.close)

    def test_early_counts_and_values_are_exported(self) -> None:
        self.metrics.add('requests_refused', 2, reason='not-ready')
        self.metrics.observe('request_latency_ms', 30.0, service='a')
        page = self.metrics.render().decode()
        self.assertIn('requests_refused_total{reason="not-ready"} 2.0', page)
        self.assertIn('request_latency_ms_count{service="a"} 1.0', page)

    def test_many_values_do_not_fill_the_memory(self) -> None:
        for _ in range(_counts._OBSERVATION_LIMIT):
            self.metrics.observe('request_latency_ms', 1.0, service='a')
        self.assertEqual([], self.metrics._observations)

    def test_counting_needs_no_libraries(self) -> None:
        """Loading them early would delay the start of a daemon."""
        code = (
            'import sys; from samphiredock import metrics;'
            'm = metrics.Metrics("a"); m.add("n"); m.observe("h", 1.0);'
            'sys.exit("opentelemetry" in sys.modules)'
        )
        done = subprocess.run([sys.executable, '-c', code], check=False)
        self.assertEqual(0, done.returncode)
