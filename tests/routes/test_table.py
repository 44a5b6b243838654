import hypothesis
from hypothesis import strategies

from citrondoor import routes
from tests import serving_samples as samples

TABLE = routes.RouteTable(
    samples.route_set(
        routes=[
            samples.route("/a/"),
            samples.route("/a/b/"),
            samples.route("/", name="root", host="other.example"),
        ]
    )
)


def find_route_name(host, path):
    resolved = TABLE.find(host, path)
    return resolved and resolved.definition.name


def test_longest_matching_prefix_is_chosen():
    assert find_route_name("shop.example", "/a/b/c") == "route/a/b/"
    assert find_route_name("shop.example", "/a/bc") == "route/a/"
    assert find_route_name("shop.example", "/a/b/") == "route/a/b/"


def test_prefix_matches_whole_path_segments_only():
    assert find_route_name("shop.example", "/a") is None
    assert find_route_name("shop.example", "/ab/c") is None


def test_host_lookup_ignores_case_and_port():
    assert find_route_name("SHOP.example:80", "/a/x") == "route/a/"
    assert find_route_name("unknown.example", "/a/x") is None
    assert find_route_name("other.example", "/anything") == "root"


@hypothesis.given(
    strategies.lists(strategies.text("ab/", max_size=5), max_size=8),
    strategies.text("ab/", max_size=12),
)
def test_lookup_agrees_with_a_scan_of_all_prefixes(prefix_names, path_suffix):
    prefixes = {
        f"/{prefix_name.strip('/')}/".replace("//", "/")
        for prefix_name in prefix_names
    }
    table = routes.RouteTable(
        samples.route_set(routes=[samples.route(p) for p in prefixes])
    )
    path = f"/{path_suffix}"
    matching = [p for p in prefixes if path.startswith(p)]
    resolved = table.find("shop.example", path)
    expected = max(matching, key=len) if matching else None
    assert (resolved and resolved.definition.prefix) == expected
