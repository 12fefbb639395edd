"""Guards against wrong, unbounded or unreadable metrics."""

from datetime import timedelta

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from greengagemux import metrics


@settings(derandomize=True, deadline=None)
@given(
    samples=st.lists(
        st.integers(1, metrics.LONGEST_US), min_size=1, max_size=200
    )
)
def test_quantiles_are_within_the_stated_digits(samples: list[int]) -> None:
    """A quantile must be a sample of that rank, within 1%."""
    registry = metrics.Metrics()
    timer = registry.timer('added_us')
    for sample in samples:
        timer.record(timedelta(microseconds=sample))
    latency = registry.tables()['latencies_us'][0]
    ranked = sorted(samples)
    for quantile in metrics.QUANTILES:
        rank = int(quantile * len(ranked) + 0.5) or 1
        assert latency[f'p{quantile * 100:g}'] == pytest.approx(
            ranked[rank - 1], rel=0.01
        )
    assert latency['count'] == len(samples)
    assert latency['sum'] == sum(samples)


def test_recording_is_batched_and_bounded(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """The list of pending samples must not grow without bound."""
    monkeypatch.setattr(metrics, 'BATCH_LIMIT', 3)
    registry = metrics.Metrics()
    timer = registry.timer('added_us')
    for _ in range(8):
        timer.record(timedelta(hours=1))
    assert len(timer._batch) == 2
    registry.record_pending()
    assert not timer._batch
    assert 'added_us_count 8' in registry.prometheus()


def test_prometheus_text() -> None:
    """The text must follow the Prometheus format, with escaped labels."""
    registry = metrics.Metrics()
    registry.count('requests_total', service='led"ger\n\\')
    registry.count('requests_total', 2, service='a', outcome='not-run')
    registry.count('requests_total', service='a', outcome='not-run')
    registry.gauge('streams', 4)
    registry.gauge('streams', 3)
    registry.timer('added_us', hop='b').record(timedelta(microseconds=90))
    assert registry.prometheus().splitlines() == [
        '# TYPE requests_total counter',
        'requests_total{outcome="not-run",service="a"} 3',
        r'requests_total{service="led\"ger\n\\"} 1',
        '# TYPE streams gauge',
        'streams 3',
        '# TYPE added_us summary',
        'added_us{hop="b",quantile="0.5"} 90',
        'added_us{hop="b",quantile="0.9"} 90',
        'added_us{hop="b",quantile="0.99"} 90',
        'added_us{hop="b",quantile="0.999"} 90',
        'added_us_sum{hop="b"} 90',
        'added_us_count{hop="b"} 1',
    ]


def test_number_of_series_is_bounded(monkeypatch: pytest.MonkeyPatch) -> None:
    """Labels chosen by callers must not exhaust the memory of a daemon."""
    monkeypatch.setattr(metrics, 'SERIES_LIMIT', 2)
    registry = metrics.Metrics()
    for number in range(4):
        registry.count('requests_total', caller=str(number))
    registry.timer('added_us').record(timedelta(1))
    found = registry.tables()
    assert not found['latencies_us']
    assert [entry['name'] for entry in found['counters']] == [
        metrics.DISCARDED_SAMPLES,
        'requests_total',
        'requests_total',
    ]
    assert found['counters'][0]['count'] == 3


@pytest.mark.parametrize('name', ['', 'a-b', 'a b', '1a', 'a\n'])
def test_bad_name_is_rejected(name: str) -> None:
    """A name that a scraper would reject must fail where it is used."""
    with pytest.raises(ValueError, match='not a valid name'):
        metrics.Metrics().count(name)
