import collections
import random

import pytest

from citrondoor import errors
from citrondoor import routes
from citrondoor.schema import serving
from tests import serving_samples as samples


def test_scatter_target_uses_every_shard():
    resolved = routes.ResolvedRoute(samples.scatter_route(["s1", "s2"]), 1)
    backends = routes.choose_backends(resolved.target, random.Random(1))
    assert backends == ("s1", "s2")


def test_back_ends_are_chosen_in_proportion_to_their_weights():
    weighted_backends = [
        serving.WeightedBackend("old", 3.0),
        serving.WeightedBackend("new", 1.0),
    ]
    resolved = routes.ResolvedRoute(
        samples.route(backends=weighted_backends), 1
    )
    rng = random.Random(1)
    counts = collections.Counter(
        routes.choose_backends(resolved.target, rng)[0] for _ in range(4000)
    )
    assert abs(counts["new"] / 4000 - 0.25) < 0.03


def test_unsupported_target_type_is_named_in_the_error():
    with pytest.raises(errors.ParameterError, match="int"):
        routes.choose_backends(3, random.Random(1))
