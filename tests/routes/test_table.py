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


def found(host, path):
    resolved = TABLE.find(host, path)
    return resolved and resolved.definition.name


def test_the_longest_prefix_wins():
    assert found("shop.example", "/a/b/c") == "route/a/b/"
    assert found("shop.example", "/a/bc") == "route/a/"
    assert found("shop.example", "/a/b/") == "route/a/b/"


def test_a_prefix_without_its_slash_is_no_match():
    assert found("shop.example", "/a") is None
    assert found("shop.example", "/ab/c") is None


def test_hosts_are_compared_without_case_and_port():
    assert found("SHOP.example:80", "/a/x") == "route/a/"
    assert found("unknown.example", "/a/x") is None
    assert found("other.example", "/anything") == "root"


@hypothesis.given(
    strategies.lists(strategies.text("ab/", max_size=5), max_size=8),
    strategies.text("ab/", max_size=12),
)
def test_the_table_agrees_with_a_scan_of_all_prefixes(parts, rest):
    prefixes = {f"/{part.strip('/')}/".replace("//", "/") for part in parts}
    table = routes.RouteTable(
        samples.route_set(routes=[samples.route(p) for p in prefixes])
    )
    path = f"/{rest}"
    fitting = [p for p in prefixes if path.startswith(p)]
    resolved = table.find("shop.example", path)
    expected = max(fitting, key=len) if fitting else None
    assert (resolved and resolved.definition.prefix) == expected
