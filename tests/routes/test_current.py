from citrondoor import routes
from tests import serving_samples as samples


def test_older_or_equal_version_is_rejected():
    current = routes.CurrentRoutes()
    assert current.version == -1
    assert current.offer(samples.route_set(7))
    assert not current.offer(samples.route_set(7))
    assert not current.offer(samples.route_set(3))
    assert current.version == 7
    assert current.offer(samples.route_set(12))
