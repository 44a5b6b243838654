from citrondoor import routes
from tests import serving_samples as samples


def test_an_older_or_equal_version_is_not_taken():
    holder = routes.RouteHolder()
    assert holder.version == -1
    assert holder.offer(samples.route_set(7))
    assert not holder.offer(samples.route_set(7))
    assert not holder.offer(samples.route_set(3))
    assert holder.version == 7
    assert holder.offer(samples.route_set(12))
